import {createCoreFixture} from './createCoreFixture.ts';
import {fitSlope} from './fitSlope.ts';
import {serveThroughCore} from './serveThroughCore.ts';
import type {Slope} from './slope.ts';

const ENDPOINTS = [100, 1000, 4200];
const ACCOUNTS = [100, 1300];
const CONNECTED = 60;
const REQUESTS = 400;
const TICKS = 400;
const IN_FLIGHT = [10, 100, 400];
const CHANGES = 200;
const MICROSECONDS_PER_MILLISECOND = 1000;
const BYTES_PER_KILOBYTE = 1000;

function timeEach(repetitions: number, run: (number: number) => void): number {
  // The first half warms the compiler up and is not counted.
  for (let number = 0; number < repetitions; number += 1) run(number);
  const startedAt = performance.now();
  for (let number = 0; number < repetitions; number += 1) {
    run(repetitions + number);
  }
  const elapsed = performance.now() - startedAt;
  return (elapsed * MICROSECONDS_PER_MILLISECOND) / repetitions;
}

function measureRequests(): Slope {
  const points = ENDPOINTS.map((endpoints) => {
    const {core} = createCoreFixture({
      accounts: 1300,
      endpoints,
      connected: CONNECTED,
    });
    const value = timeEach(REQUESTS, (number) => {
      if (!serveThroughCore(core, `r-${number}`, 1)) throw new Error('lost');
    });
    return {size: endpoints, value};
  });
  return fitSlope({
    name: 'entry core: request of four stages',
    sizeUnit: 'endpoint records',
    valueUnit: 'µs',
    points,
  });
}

function measureTicks(): Slope {
  const points = IN_FLIGHT.map((inFlight) => {
    const {core} = createCoreFixture({
      accounts: 10,
      endpoints: CONNECTED,
      connected: CONNECTED,
    });
    const {input, keyHash} = {input: {text: 'text'}, keyHash: ''};
    const [account] = core.state.configuration!.accountsByKeyHash.keys();
    for (let number = 0; number < inFlight; number += 1) {
      core.handle(
        {
          tag: 'requestArrived',
          requestId: `r-${number}`,
          pipelineName: 'pipeline-0',
          keyHash: account ?? keyHash,
          input,
          idempotencyKey: null,
          bodyDigest: null,
          deadlineMilliseconds: null,
          traceparent: null,
        },
        1,
      );
    }
    const value = timeEach(TICKS, () => void core.handle({tag: 'ticked'}, 1));
    return {size: inFlight, value};
  });
  return fitSlope({
    name: 'entry core: tick',
    sizeUnit: 'requests in flight',
    valueUnit: 'µs',
    points,
  });
}

function measureChanges(): Slope {
  const points = ENDPOINTS.map((endpoints) => {
    const {log} = createCoreFixture({accounts: 1300, endpoints, connected: 0});
    const value = timeEach(CHANGES, (number) => {
      const name = `endpoint-${number % 10}`;
      const document = {
        kind: 'endpoint',
        schemaVersion: 1,
        name,
        pool: `pool-${number}`,
      };
      const change = {kind: 'endpoint', name, document};
      const entry = {
        sequence: log.sequence + 1,
        operation: `o-${number}`,
        changes: [change],
      };
      log.applyEntries([entry]);
      log.getView();
    });
    return {size: endpoints, value};
  });
  return fitSlope({
    name: 'any process: one change of configuration',
    sizeUnit: 'endpoint records',
    valueUnit: 'µs',
    points,
  });
}

function measureBytes(create: (size: number) => unknown, size: number): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = create(size);
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  return kept === null ? 0 : bytes / BYTES_PER_KILOBYTE;
}

function measureMemory(
  name: string,
  sizeUnit: string,
  sizes: readonly number[],
  create: (size: number) => unknown,
): Slope {
  const points = sizes.map((size) => ({
    size,
    value: measureBytes(create, size),
  }));
  return fitSlope({name, sizeUnit, valueUnit: 'KB', points});
}

/**
 * Measures the decision core alone over tables up to the size to design for.
 * Memory is measured only where Node runs with `--expose-gc`.
 *
 * @example
 *     measureCoreSlopes().map(({name, slope}) => `${name}: ${slope}`);
 */
export function measureCoreSlopes(): Slope[] {
  const memory =
    globalThis.gc === undefined
      ? []
      : [
          measureMemory(
            'any process: configuration in memory',
            'endpoint records',
            ENDPOINTS,
            (endpoints) =>
              createCoreFixture({accounts: 0, endpoints, connected: 0}),
          ),
          measureMemory(
            'any process: configuration in memory',
            'account records',
            ACCOUNTS,
            (accounts) =>
              createCoreFixture({accounts, endpoints: 0, connected: 0}),
          ),
        ];
  return [measureRequests(), measureTicks(), measureChanges(), ...memory];
}
