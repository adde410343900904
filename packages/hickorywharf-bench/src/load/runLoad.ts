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
  /** Told each second how many calls were sent and how many are out. */
  readonly onProgress: (line: string) => void;
}

const PROGRESS_MILLISECONDS = 1000;

/**
 * Sends the calls of a schedule, each at its time whether or not earlier ones
 * were answered. Latency counts from the time a call was meant to be sent, so
 * that a stalled sender hides nothing.
 *
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
        entryUrl: urls[Math.floor(call.entryShare * urls.length)]!,
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
      tokenGaps: tokenTimes
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
    const pause = startedAt + call.atMilliseconds - clock.monotonic();
    if (pause > 0) await sleep(pause);
    sent += 1;
    sending.push(send(call, sent));
  }
  await Promise.all(sending);
  clearInterval(progress);
  await dispatcher.close();
  return records;
}
