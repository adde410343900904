import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import type {EndpointCommand} from 'hickorywharf-decisions/endpoint/endpointCommand';
import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import type {ScheduledCall} from '../load/scheduledCall.ts';

interface ReplayOptions {
  readonly queueOrder: string;
  readonly slots: number;
  readonly schedule: readonly ScheduledCall[];
  readonly deadlineMilliseconds: number;
  /** How long outcomes are kept (default one second). */
  readonly retentionMilliseconds?: number;
  readonly getServiceMilliseconds: (call: ScheduledCall) => number;
}

/** What became of one call; null latency for one that was not finished. */
interface Replayed {
  readonly call: ScheduledCall;
  readonly latencyMilliseconds: number | null;
}

interface Due {
  readonly at: number;
  readonly event: EndpointEvent;
}

const TICK_MILLISECONDS = 25;
const RETENTION_MILLISECONDS = 1000;
const QUEUE_LENGTH = 10_000;
const OUTPUT = {
  kind: 'generate',
  tokens: [],
  tokenCount: 0,
  cachedTokens: 0,
} as const;

function toArrival(
  call: ScheduledCall,
  number: number,
  deadlineMilliseconds: number,
): EndpointEvent {
  const attemptId = String(number);
  return {
    tag: 'frameArrived',
    peer: 'entry-1',
    frame: {
      tag: 'attempt',
      requestId: attemptId,
      stageIndex: 0,
      attemptId,
      kind: 'generate',
      pool: 'engines',
      idempotent: true,
      half: null,
      account: call.account,
      accountWeight: 1,
      remainingMilliseconds: deadlineMilliseconds,
      laterMilliseconds: 0,
      input: {text: call.text, maximumTokens: call.maximumTokens},
      idempotencyKey: null,
      bodyDigest: null,
      traceparent: null,
    },
  };
}

/**
 * Feeds the endpoint's decisions a schedule of calls, in the schedule's own
 * time, with a fixed time for each call. It runs no process and gives the same
 * result each time, so that two orders of the queue can be told apart.
 *
 * @example
 *     replayQueue({queueOrder: 'fairShortest', slots: 4, schedule, deadlineMilliseconds: 2000, getServiceMilliseconds});
 */
export function replayQueue(options: ReplayOptions): Replayed[] {
  const {schedule, deadlineMilliseconds, getServiceMilliseconds} = options;
  const core = createEndpointCore({
    name: 'engine-1',
    incarnation: '1',
    slots: options.slots,
    queueOrder: options.queueOrder,
    maximumQueueLength: QUEUE_LENGTH,
    retentionMilliseconds:
      options.retentionMilliseconds ?? RETENTION_MILLISECONDS,
    retentionBytes: 1 << 24,
    homePartitionCount: 1,
    maximumSkewMilliseconds: Number.MAX_SAFE_INTEGER,
  });
  const latencies = new Map<number, number>();
  const due: Due[] = schedule.map((call, number) => ({
    at: call.atMilliseconds,
    event: toArrival(call, number, deadlineMilliseconds),
  }));
  const end = (schedule.at(-1)?.atMilliseconds ?? 0) + deadlineMilliseconds;
  for (let at = 0; at < end; at += TICK_MILLISECONDS) {
    due.push({at, event: {tag: 'ticked'}});
  }
  due.sort((left, right) => right.at - left.at);

  function push(item: Due): void {
    let index = due.length;
    while (index > 0 && due[index - 1]!.at < item.at) index -= 1;
    due.splice(index, 0, item);
  }

  function execute(command: EndpointCommand, now: number): void {
    if (command.tag === 'startBackend') {
      const {attemptId} = command.attempt;
      const call = schedule[Number(attemptId)]!;
      push({
        at: now + getServiceMilliseconds(call),
        event: {tag: 'backendFinished', attemptId, output: OUTPUT},
      });
    }
    if (command.tag === 'cancelBackend') {
      const {attemptId} = command;
      const outcome = 'unknown';
      const message = 'cancelled';
      push({
        at: now,
        event: {tag: 'backendFailed', attemptId, outcome, message},
      });
    }
    if (command.tag === 'send' && command.frame.tag === 'result') {
      const number = Number(command.frame.attemptId);
      latencies.set(number, now - schedule[number]!.atMilliseconds);
    }
  }

  while (due.length > 0) {
    const {at, event} = due.pop()!;
    for (const command of core.handle(event, at)) execute(command, at);
  }
  return schedule.map((call, number) => ({
    call,
    latencyMilliseconds: latencies.get(number) ?? null,
  }));
}
