import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import type {EndpointCommand} from 'hickorywharf-decisions/endpoint/endpointCommand';
import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import type {ScheduledCall} from '../load/scheduledCall.ts';

interface ReplayOptions {
  /** Name of the queue policy. */
  readonly queueOrder: string;
  readonly slots: number;
  readonly schedule: readonly ScheduledCall[];
  readonly deadlineMilliseconds: number;
  /** How long outcomes are retained; one second by default. */
  readonly retentionMilliseconds?: number;
  readonly getServiceMilliseconds: (call: ScheduledCall) => number;
}

/** The outcome of a call; the latency is null if it did not finish. */
interface ReplayedCall {
  readonly call: ScheduledCall;
  readonly latencyMilliseconds: number | null;
}

interface ScheduledEvent {
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

function createArrivalEvent(
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
 * Replays a schedule of calls to an endpoint's core in simulated time, with a
 * given service time for each call. It starts no process and is deterministic,
 * so that queue orders can be compared.
 *
 * @example
 *     replayQueue({queueOrder: 'fairShortest', slots: 4, schedule, deadlineMilliseconds: 2000, getServiceMilliseconds});
 */
export function replayQueue(options: ReplayOptions): ReplayedCall[] {
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
  const eventQueue: ScheduledEvent[] = schedule.map((call, number) => ({
    at: call.atMilliseconds,
    event: createArrivalEvent(call, number, deadlineMilliseconds),
  }));
  const endsAt = (schedule.at(-1)?.atMilliseconds ?? 0) + deadlineMilliseconds;
  for (let at = 0; at < endsAt; at += TICK_MILLISECONDS) {
    eventQueue.push({at, event: {tag: 'ticked'}});
  }
  eventQueue.sort((left, right) => right.at - left.at);

  function push(item: ScheduledEvent): void {
    let index = eventQueue.length;
    while (index > 0 && eventQueue[index - 1]!.at < item.at) index -= 1;
    eventQueue.splice(index, 0, item);
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

  while (eventQueue.length > 0) {
    const {at, event} = eventQueue.pop()!;
    for (const command of core.handle(event, at)) execute(command, at);
  }
  return schedule.map((call, number) => ({
    call,
    latencyMilliseconds: latencies.get(number) ?? null,
  }));
}
