import {Agent} from 'undici';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {createUuid7} from 'hickorywharf-utils/createUuid7';
import {sleep} from 'hickorywharf-utils/sleep';
import type {startDeployment} from '../deployment/startDeployment.ts';
import {sendCall} from '../sendCall.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type Call = Parameters<typeof sendCall>[0];

interface RunTrafficOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Number of concurrent callers. */
  readonly callers: number;
  /** Ends the traffic; calls in flight are completed. */
  readonly signal: AbortSignal;
  /** Names of the entries that the balancer sends to at the moment. */
  readonly getEntries: () => readonly string[];
}

/** Outcomes of the calls of one pipeline. */
interface TrafficRow {
  readonly pipeline: string;
  sent: number;
  answered: number;
  notRun: number;
  unknown: number;
  connectionLost: number;
  /** Latencies of the answered calls. */
  readonly milliseconds: number[];
}

const MAXIMUM_TOKENS = 24;
const RETRIES = 3;
const RETRY_BACKOFF_MILLISECONDS = 100;

/**
 * Runs concurrent callers, each of which sends one call after another to random
 * pipelines until the signal, with and without streaming. A call that is not
 * answered is retried up to three times, with the same idempotency key, through
 * any entry.
 *
 * @returns one row for each pipeline
 * @example
 *     const rows = await runTraffic(options);
 */
export async function runTraffic(
  options: RunTrafficOptions,
): Promise<TrafficRow[]> {
  const {deployment, seed, callers, signal, getEntries} = options;
  const {plan, entryUrls, historyFile} = deployment;
  const clock = createSystemClock();
  const history = createHistoryRecorder({
    process: `${plan.name}-callers`,
    file: historyFile,
    clock,
  });
  const dispatcher = new Agent({connections: callers * 2});
  const rows = new Map<string, TrafficRow>(
    plan.pipelines.map(({name}) => [
      name,
      {
        pipeline: name,
        sent: 0,
        answered: 0,
        notRun: 0,
        unknown: 0,
        connectionLost: 0,
        milliseconds: [],
      },
    ]),
  );

  async function sendWithRetries(
    call: Omit<Call, 'callId' | 'entryUrl'>,
    name: string,
    random: () => number,
  ): Promise<void> {
    const row = rows.get(call.pipeline.name)!;
    for (let attempt = 0; attempt <= RETRIES; attempt += 1) {
      const entries = getEntries();
      const entry = entries[Math.floor(random() * entries.length)]!;
      const startedAt = clock.monotonic();
      const {outcome} = await sendCall(
        {
          ...call,
          callId: `${name}-${attempt}`,
          entryUrl: entryUrls.get(entry)!,
        },
        dispatcher,
        history,
      );
      row.sent += 1;
      row[outcome] += 1;
      if (outcome === 'answered') {
        row.milliseconds.push(clock.monotonic() - startedAt);
      }
      if (outcome === 'answered') return;
      await sleep(RETRY_BACKOFF_MILLISECONDS * (0.5 + random()));
    }
  }

  async function runCaller(caller: number): Promise<void> {
    const random = createRandom(seed * 1000 + caller);
    for (let number = 0; !signal.aborted; number += 1) {
      const index = Math.floor(random() * plan.pipelines.length);
      const pipeline = plan.pipelines[index]!;
      const hasAction = pipeline.stages.some(({idempotent}) => !idempotent);
      const call = {
        accountKey: plan.accountKey,
        pipeline,
        text: `${plan.name} ${caller} ${number}`,
        parameters: {copy: number},
        maximumTokens: 1 + Math.floor(random() * MAXIMUM_TOKENS),
        isStream: random() < 0.5,
        idempotencyKey: hasAction ? createUuid7(clock.wall()) : null,
      };
      await sendWithRetries(call, `${plan.name}-${caller}-${number}`, random);
    }
  }

  await Promise.all(
    Array.from({length: callers}, (_, caller) => runCaller(caller)),
  );
  await dispatcher.close();
  history.record({
    tag: 'processStopped',
    name: `${plan.name}-callers`,
    planned: true,
  });
  history.close();
  return [...rows.values()];
}
