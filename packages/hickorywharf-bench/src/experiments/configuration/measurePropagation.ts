import {fetchOperatorsState} from 'hickorywharf-operators/fetchOperatorsState';
import type {startDeployment} from '../../deployment/startDeployment.ts';
import {getPercentile} from '../../getPercentile.ts';
import {loadHistory} from '../../loadHistory.ts';
import {measureUsage} from '../../usage/measureUsage.ts';
import type {ExperimentReport} from '../experimentReport.ts';
import {countStoreCalls} from './countStoreCalls.ts';
import {getActivationMilliseconds} from './getActivationMilliseconds.ts';
import {storeStandIn} from './storeStandIn.ts';
import {waitForSequence} from './waitForSequence.ts';
import {writeRoutes} from './writeRoutes.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type Figure = ExperimentReport['runs'][number]['figures'][number];

interface MeasureOptions {
  readonly deployment: Deployment;
  /** URLs of the operators interface of all processes. */
  readonly operatorsUrls: readonly string[];
  readonly seed: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const IDLE_MILLISECONDS = 5000;
const SINGLE_CHANGES = 8;
const SINGLE_SPACING_MILLISECONDS = 400;
const BURST_CHANGES = 200;
const BURST_SPACING_MILLISECONDS = 5;
const CATCH_UP_TIMEOUT_MILLISECONDS = 15_000;
/** Required time until a change is active in every process. */
const ACTIVATION_TARGET_MILLISECONDS = 3000;

/** Mean bytes of configuration frames sent by a process so far. */
async function fetchMeanBytesSent(urls: readonly string[]): Promise<number> {
  const states = await Promise.all(urls.map(fetchOperatorsState));
  const bytes = states.map((state) =>
    state.isOk() ? state.value.configuration.bytesSent : 0,
  );
  return bytes.reduce((sum, sent) => sum + sent, 0) / urls.length;
}

async function measureIdle(
  {deployment}: MeasureOptions,
  processes: number,
): Promise<Figure[]> {
  const {storeUrl} = deployment;
  const identifiers = new Map(
    Array.from(deployment.processes, ([name, {processId: identifier}]) => [
      name,
      identifier,
    ]),
  );
  const before = await storeStandIn.getCalls(storeUrl);
  const usage = await measureUsage(identifiers, IDLE_MILLISECONDS);
  const calls = countStoreCalls(before, await storeStandIn.getCalls(storeUrl));
  const seconds = IDLE_MILLISECONDS / MILLISECONDS_PER_SECOND;
  const values = [...usage.values()];
  const kilobytes = values.map((used) => used.kilobytesPerSecond);
  const shares = values.map((used) => used.cpuShare);
  const mean = (numbers: readonly number[]) =>
    numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
  return [
    {
      name: 'idle: store calls a second, all processes',
      value: calls / seconds,
      unit: 'calls/s',
      target: null,
    },
    {
      name: 'idle: store calls a second for each process',
      value: calls / seconds / processes,
      unit: 'calls/s',
      target: null,
    },
    {
      name: 'idle: bytes read and written for each process, all control',
      value: mean(kilobytes),
      unit: 'KB/s',
      target: {atMost: 8},
    },
    {
      name: 'idle: processor time for each process, all control',
      value: mean(shares) * 100,
      unit: '% of a core',
      target: {atMost: 1.2},
    },
  ];
}

interface ChangeLoad {
  readonly label: string;
  readonly count: number;
  readonly spacingMilliseconds: number;
}

async function measureChanges(
  options: MeasureOptions,
  {label, count, spacingMilliseconds}: ChangeLoad,
): Promise<Figure[]> {
  const {deployment, operatorsUrls, seed} = options;
  const {storeUrl} = deployment;
  const callsBefore = await storeStandIn.getCalls(storeUrl);
  const bytesBefore = await fetchMeanBytesSent(operatorsUrls);
  const startedAt = performance.now();
  const accepted = await writeRoutes({
    storeUrl,
    count,
    spacingMilliseconds,
    seed,
  });
  const writeMilliseconds = performance.now() - startedAt;
  const last = accepted.at(-1)!.sequence;
  await waitForSequence(operatorsUrls, last, CATCH_UP_TIMEOUT_MILLISECONDS);
  const calls = countStoreCalls(
    callsBefore,
    await storeStandIn.getCalls(storeUrl),
  );
  const bytes = (await fetchMeanBytesSent(operatorsUrls)) - bytesBefore;
  const events = loadHistory(deployment.historyFile)._unsafeUnwrap();
  const names = [...deployment.processes.keys()];
  const times = getActivationMilliseconds(events, accepted, names);
  const target = {atMost: ACTIVATION_TARGET_MILLISECONDS};
  const figures: [string, number, string, Figure['target']][] = [
    ['time to write', writeMilliseconds, 'ms', null],
    ['in force everywhere, median', getPercentile(times, 0.5), 'ms', target],
    ['in force everywhere, slowest', Math.max(...times), 'ms', target],
    ['store calls for each change', calls / count, 'calls', null],
    ['bytes sent for each change by a process', bytes / count, 'B', null],
  ];
  return figures.map(([name, value, unit, figureTarget]) => ({
    name: `${label}: ${name}`,
    value,
    unit,
    target: figureTarget,
  }));
}

/**
 * Measures one mode of propagation on a running deployment: idle, under single
 * changes, and under a burst of 200 changes in a second.
 *
 * @example
 *     await measurePropagation({deployment, operatorsUrls, seed: 1});
 */
export async function measurePropagation(
  options: MeasureOptions,
): Promise<Figure[]> {
  const processes = options.operatorsUrls.length;
  const idle = await measureIdle(options, processes);
  const single = await measureChanges(options, {
    label: 'single',
    count: SINGLE_CHANGES,
    spacingMilliseconds: SINGLE_SPACING_MILLISECONDS,
  });
  const burst = await measureChanges(options, {
    label: 'burst',
    count: BURST_CHANGES,
    spacingMilliseconds: BURST_SPACING_MILLISECONDS,
  });
  return [...idle, ...single, ...burst];
}
