import {Agent} from 'undici';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {createUuid7} from 'hickorywharf-utils/createUuid7';
import {sleep} from 'hickorywharf-utils/sleep';
import type {startDeployment} from '../deployment/startDeployment.ts';
import {sendCall} from '../sendCall.ts';
import type {CallRecord} from './callRecord.ts';
import type {ScheduledCall} from './scheduledCall.ts';

interface RunLoadOptions {
  readonly deployment: Awaited<ReturnType<typeof startDeployment>>;
  readonly schedule: readonly ScheduledCall[];
  /** Called every second with the numbers of calls sent and of good ones. */
  readonly onProgress: (line: string) => void;
}

const PROGRESS_MILLISECONDS = 1000;

/**
 * Sends the calls of a schedule as an open loop: each at its scheduled time,
 * whether or not earlier ones were answered. Latency counts from the scheduled
 * time, so that it includes any delay of the sender.
 *
 * @returns the records in the order in which the calls ended
 * @example
 *     const records = await runLoad({deployment, schedule, onProgress});
 */
export async function runLoad(options: RunLoadOptions): Promise<CallRecord[]> {
  const {deployment, schedule, onProgress} = options;
  const {plan, entryUrls} = deployment;
  const clock = createSystemClock();
  const history = createHistoryRecorder({process: '', file: '', clock});
  const dispatcher = new Agent({pipelining: 1});
  const pipelines = new Map(plan.pipelines.map((item) => [item.name, item]));
  const keys = new Map(plan.accounts?.map(({name, key}) => [name, key]));
  const urls = [...entryUrls.values()];
  const records: CallRecord[] = [];
  const startedAt = clock.monotonic();
  let sent = 0;

  async function send(call: ScheduledCall, number: number): Promise<void> {
    const intendedAt = startedAt + call.atMilliseconds;
    const pipeline = pipelines.get(call.pipeline)!;
    const hasAction = pipeline.stages.some(({idempotent}) => !idempotent);
    const tokenTimes: number[] = [];
    const {outcome, requestId, detail, isCorrect} = await sendCall(
      {
        callId: `${number}`,
        entryUrl: urls[Math.floor(call.entryFraction * urls.length)]!,
        accountKey: keys.get(call.account) ?? plan.accountKey,
        pipeline,
        text: call.text,
        parameters: {copy: number},
        maximumTokens: call.maximumTokens,
        isStream: !hasAction,
        idempotencyKey: hasAction ? createUuid7(clock.wall()) : null,
        onToken: () => tokenTimes.push(clock.monotonic()),
      },
      dispatcher,
      history,
    );
    const latencyMilliseconds = clock.monotonic() - intendedAt;
    const isInTime = latencyMilliseconds <= pipeline.deadlineMilliseconds;
    const [first] = tokenTimes;
    records.push({
      call,
      requestId,
      outcome,
      detail,
      isCorrect,
      isGood: isCorrect && isInTime,
      latencyMilliseconds,
      firstTokenMilliseconds: first === undefined ? null : first - intendedAt,
      tokenGapMilliseconds: tokenTimes
        .slice(1)
        .map((time, index) => time - tokenTimes[index]!),
    });
  }

  const progress = setInterval(() => {
    const good = records.filter(({isGood}) => isGood).length;
    onProgress(`sent ${sent}/${schedule.length}, good ${good}`);
  }, PROGRESS_MILLISECONDS);
  const sending: Promise<void>[] = [];
  for (const call of schedule) {
    const waitMilliseconds =
      startedAt + call.atMilliseconds - clock.monotonic();
    if (waitMilliseconds > 0) await sleep(waitMilliseconds);
    sent += 1;
    sending.push(send(call, sent));
  }
  await Promise.all(sending);
  clearInterval(progress);
  await dispatcher.close();
  return records;
}
