import {readFileSync} from 'node:fs';
import path from 'node:path';
import {sleep} from 'hickorywharf-utils/sleep';
import {startDeployment} from '../deployment/startDeployment.ts';
import type {ExperimentReport} from '../experiments/experimentReport.ts';
import {getPercentile} from '../getPercentile.ts';
import {measureUsage} from '../usage/measureUsage.ts';
import {benchmarkPlan} from './benchmarkPlan.ts';
import {createBenchmarkCalls} from './createBenchmarkCalls.ts';
import {runOpenLoop} from './runOpenLoop.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type Calls = ReturnType<typeof createBenchmarkCalls>;
type Run = ExperimentReport['runs'][number];
type Figure = Run['figures'][number];

interface RunBenchmarkOptions {
  readonly program: string;
  readonly directory: string;
  readonly seed: number;
  readonly print: (line: string) => void;
}

interface LoadOptions {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

/** Design load of an entry: 23,000 requests a second over 370 entries. */
const REQUESTS_PER_SECOND = 62;
/** 5.3 million tokens a second over 23,000 requests a second. */
const TOKENS_PER_REQUEST = 230;
/** Factor on the load of an entry after one of three regions is lost. */
const REGION_LOST_FACTOR = 1.5;
const TOKEN_MILLISECONDS = 6;
/** Concurrent streams of an engine stand-in; more than the load needs. */
const STAND_IN_CAPACITY = 256;
const STAGE_CALLS_PER_SECOND = 25;
const PHASE_MILLISECONDS = 10_000;
const WARM_UP_MILLISECONDS = 4000;
const SETTLE_MILLISECONDS = 3000;
const TARGET_MEGABYTES = 128;
const TARGET_IDLE_CPU_SHARE = 0.012;
const TARGET_IDLE_KILOBYTES_PER_SECOND = 8;
const HOP_COUNT = 2;
const TARGET_HOP_MILLISECONDS = 2;
const TARGET_ENTRY_CPU_SHARE = 0.5;

function createFigure(
  name: string,
  value: number,
  unit: string,
  target: Figure['target'] = null,
): Figure {
  return {name, value, unit, target};
}

function getProcessIdentifiers(deployment: Deployment): Map<string, number> {
  return new Map(
    Array.from(deployment.processes, ([name, {processId: identifier}]) => [
      name,
      identifier,
    ]),
  );
}

function getUsageFigures(
  usage: Awaited<ReturnType<typeof measureUsage>>,
  names: readonly string[],
  atMost: {cpu: number | null; kilobytes: number | null},
): Figure[] {
  return names.flatMap((name) => {
    const rate = usage.get(name)!;
    const {cpuShare, residentMegabytes, kilobytesPerSecond} = rate;
    const toTarget = (bound: number | null) =>
      bound === null ? null : {atMost: bound};
    return [
      createFigure(`${name} processor`, cpuShare, 'core', toTarget(atMost.cpu)),
      createFigure(`${name} memory`, residentMegabytes, 'MB', {
        atMost: TARGET_MEGABYTES,
      }),
      createFigure(
        `${name} bytes`,
        kilobytesPerSecond,
        'KB/s',
        toTarget(atMost.kilobytes),
      ),
    ];
  });
}

async function measureIdle(deployment: Deployment): Promise<Figure[]> {
  await sleep(SETTLE_MILLISECONDS);
  const usage = await measureUsage(
    getProcessIdentifiers(deployment),
    PHASE_MILLISECONDS,
  );
  return getUsageFigures(usage, ['entry-1', 'encoder-1', 'engine-1'], {
    cpu: TARGET_IDLE_CPU_SHARE,
    kilobytes: TARGET_IDLE_KILOBYTES_PER_SECOND,
  });
}

async function measureHops(calls: Calls, seed: number): Promise<Figure[]> {
  const direct: number[] = [];
  const through: number[] = [];
  const background = runOpenLoop({
    ratePerSecond: REQUESTS_PER_SECOND / 2,
    milliseconds: WARM_UP_MILLISECONDS + PHASE_MILLISECONDS,
    seed,
    send: async (number) =>
      void (await calls.stream(number, TOKENS_PER_REQUEST)),
  });
  await sleep(WARM_UP_MILLISECONDS);
  await runOpenLoop({
    ratePerSecond: 2 * STAGE_CALLS_PER_SECOND,
    milliseconds: PHASE_MILLISECONDS,
    seed: seed + 1,
    send: async (number) => {
      const isDirect = number % 2 === 0;
      if (isDirect) direct.push(await calls.callDirectly(number));
      else through.push(await calls.callThroughEntry(number));
    },
  });
  await background;
  const getMedian = (numbers: number[]) => getPercentile(numbers, 0.5);
  const getTail = (numbers: number[]) => getPercentile(numbers, 0.99);
  return [
    createFigure('direct call, median', getMedian(direct), 'ms'),
    createFigure('direct call, 99th', getTail(direct), 'ms'),
    createFigure('call through, median', getMedian(through), 'ms'),
    createFigure('call through, 99th', getTail(through), 'ms'),
    createFigure(
      'median through over direct',
      getMedian(through) / getMedian(direct),
      'ratio',
    ),
    createFigure(
      'added for each hop, median',
      (getMedian(through) - getMedian(direct)) / HOP_COUNT,
      'ms',
    ),
    createFigure(
      'added for each hop, 99th',
      (getTail(through) - getTail(direct)) / HOP_COUNT,
      'ms',
      {atMost: TARGET_HOP_MILLISECONDS},
    ),
  ];
}

async function measureLoad(
  deployment: Deployment,
  calls: Calls,
  load: LoadOptions,
): Promise<Figure[]> {
  const expected = load.requestsPerSecond * TOKENS_PER_REQUEST;
  let received = 0;
  let complete = 0;
  let sent = 0;
  const traffic = runOpenLoop({
    ratePerSecond: load.requestsPerSecond,
    milliseconds: WARM_UP_MILLISECONDS + PHASE_MILLISECONDS,
    seed: load.seed,
    send: async (number) => {
      sent += 1;
      const tokens = await calls.stream(number, TOKENS_PER_REQUEST);
      received += tokens;
      if (tokens === TOKENS_PER_REQUEST) complete += 1;
    },
  });
  await sleep(WARM_UP_MILLISECONDS);
  const before = received;
  const usage = await measureUsage(
    getProcessIdentifiers(deployment),
    PHASE_MILLISECONDS,
  );
  const tokensPerSecond = (received - before) / (PHASE_MILLISECONDS / 1000);
  await traffic;
  return [
    createFigure('offered', expected, 'tokens/s'),
    createFigure('delivered', tokensPerSecond, 'tokens/s'),
    createFigure('whole answers', complete / sent, 'share', {atLeast: 1}),
    ...getUsageFigures(usage, ['entry-1', 'engine-1'], {
      cpu: null,
      kilobytes: null,
    }).map((figure) =>
      figure.name === 'entry-1 processor'
        ? {...figure, target: {atMost: TARGET_ENTRY_CPU_SHARE}}
        : figure,
    ),
  ];
}

function findEncoderUrl(directory: string): string {
  const file = path.join(directory, 'encoder-1.ini');
  return /url = (\S+)/.exec(readFileSync(file, 'utf8'))![1]!;
}

/**
 * Measures an entry and the endpoint processes behind it: memory and processor
 * time when idle and under the design load of an entry, and the latency that
 * the two hops add to a call.
 *
 * @example
 *     await runBenchmark({program, directory, seed: 1, print});
 */
export async function runBenchmark(
  options: RunBenchmarkOptions,
): Promise<ExperimentReport> {
  const {program, directory, seed, print} = options;
  const deployment = await startDeployment({
    plan: benchmarkPlan,
    program,
    directory,
    standInProcesses: benchmarkPlan.endpoints.length,
    getSettings: () => ({history: {file: ''}}),
    getStandIn: () => ({
      workMilliseconds: 1,
      tokenMilliseconds: TOKEN_MILLISECONDS,
      capacity: STAND_IN_CAPACITY,
    }),
  });
  const runs: Run[] = [];
  const addRun = (policy: string, figures: Figure[]) => {
    runs.push({policy, seed, figures, series: {}});
    for (const {name, value, unit, target} of figures) {
      const bound = target === null ? '' : ` target ${JSON.stringify(target)}`;
      print(`${policy}: ${name}: ${value.toFixed(4)} ${unit}${bound}`);
    }
  };
  try {
    await deployment.apply(new Set());
    await deployment.waitUntilReady();
    const calls = createBenchmarkCalls({
      entryUrl: deployment.entryUrls.get('entry-1')!,
      encoderUrl: findEncoderUrl(directory),
      accountKey: benchmarkPlan.accountKey,
    });
    addRun('idle', await measureIdle(deployment));
    addRun('half load', await measureHops(calls, seed));
    for (const [name, factor] of [
      ['full load', 1],
      ['region lost', REGION_LOST_FACTOR],
    ] as const) {
      const requestsPerSecond = REQUESTS_PER_SECOND * factor;
      const load = {name, requestsPerSecond, seed: seed + 2};
      addRun(name, await measureLoad(deployment, calls, load));
    }
    await calls.close();
  } finally {
    await deployment.stop();
  }
  return {experiment: 'benchmark', seeds: [seed], runs};
}
