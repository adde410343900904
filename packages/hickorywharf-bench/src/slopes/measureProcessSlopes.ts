import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {sleep} from 'hickorywharf-utils/sleep';
import {findFreePorts} from '../deployment/findFreePorts.ts';
import {startProcess} from '../deployment/startProcess.ts';
import {measureUsage} from '../usage/measureUsage.ts';
import {fitSlope} from './fitSlope.ts';
import type {Slope} from './slope.ts';
import {startFakeEndpoints} from './startFakeEndpoints.ts';
import {startFakeEntries} from './startFakeEntries.ts';
import {startFakePlatform} from './startFakePlatform.ts';

interface MeasureProcessOptions {
  readonly program: string;
  readonly directory: string;
}

type Platform = Awaited<ReturnType<typeof startFakePlatform>>;
type Rate =
  Awaited<ReturnType<typeof measureUsage>> extends Map<string, infer Value>
    ? Value
    : never;

interface Measurement {
  readonly size: number;
  readonly rate: Rate;
  readonly storeCallsPerSecond: number;
}

const ADDRESS = '127.0.0.1';
const PEER_COUNTS = [4, 32, 64, 128];
const SETTLE_MILLISECONDS = 4000;
const MEASURE_MILLISECONDS = 10_000;
const MILLISECONDS_PER_SECOND = 1000;

function countCalls(platform: Platform): number {
  return Object.values(platform.calls).reduce((sum, count) => sum + count, 0);
}

async function measureProcess(
  options: MeasureProcessOptions,
  role: 'entry' | 'endpoint',
  size: number,
): Promise<Measurement> {
  const platform = await startFakePlatform();
  const [port = 0] = await findFreePorts(ADDRESS, 1);
  const endpoints =
    role === 'entry' ? await startFakeEndpoints(size) : undefined;
  for (const instance of endpoints?.instances ?? []) {
    await platform.list(instance);
  }
  const listener = role === 'entry' ? 'http' : 'listen';
  const lines = [
    '[process]',
    'name = measured',
    'failureDomain = domain-1',
    '[platform]',
    `storeUrl = ${platform.storeUrl}`,
    `instancesUrl = ${platform.instancesUrl}`,
    `[${listener}]`,
    `address = ${ADDRESS}`,
    `port = ${port}`,
    ...(role === 'entry'
      ? []
      : ['[backend]', 'kind = pool', `url = http://${ADDRESS}:1`]),
  ];
  const file = path.join(options.directory, `${role}-${size}.ini`);
  writeFileSync(file, `${lines.join('\n')}\n`);
  const started = startProcess({
    program: options.program,
    words: [role, '--settings', file],
    logFile: path.join(options.directory, `${role}-${size}.log`),
  });
  const entries =
    role === 'endpoint'
      ? startFakeEntries({count: size, address: ADDRESS, port})
      : undefined;
  await sleep(SETTLE_MILLISECONDS);
  const callsBefore = countCalls(platform);
  const usage = await measureUsage(
    new Map([['measured', started.processId]]),
    MEASURE_MILLISECONDS,
  );
  const calls = countCalls(platform) - callsBefore;
  started.signal('SIGKILL');
  await started.exited;
  entries?.close();
  endpoints?.close();
  platform.close();
  return {
    size,
    rate: usage.get('measured')!,
    storeCallsPerSecond:
      (calls * MILLISECONDS_PER_SECOND) / MEASURE_MILLISECONDS,
  };
}

function createSlopes(
  role: string,
  measurements: readonly Measurement[],
): Slope[] {
  const create = (
    mechanism: string,
    valueUnit: string,
    getValue: (each: Measurement) => number,
  ) =>
    fitSlope({
      name: `${role}: ${mechanism}`,
      sizeUnit: 'connected peers',
      valueUnit,
      points: measurements.map((each) => ({
        size: each.size,
        value: getValue(each),
      })),
    });
  return [
    create(
      'idle processor time',
      '% of a core',
      ({rate}) => rate.cpuShare * 100,
    ),
    create('idle memory', 'MB', ({rate}) => rate.residentMegabytes),
    create('idle bytes', 'KB/s', ({rate}) => rate.kilobytesPerSecond),
    create('idle store calls', 'calls/s', (each) => each.storeCallsPerSecond),
  ];
}

/**
 * Measures the cost of an idle entry and of an idle endpoint against the number
 * of their connected peers. Both run as real processes; their peers are fakes in
 * this process.
 *
 * @example
 *     await measureProcessSlopes({program: 'dist/hickorywharf', directory});
 */
export async function measureProcessSlopes(
  options: MeasureProcessOptions,
): Promise<Slope[]> {
  const slopes: Slope[] = [];
  for (const role of ['entry', 'endpoint'] as const) {
    const measurements: Measurement[] = [];
    for (const size of PEER_COUNTS) {
      measurements.push(await measureProcess(options, role, size));
    }
    slopes.push(...createSlopes(role, measurements));
  }
  return slopes;
}
