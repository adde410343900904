import {createCoreFixture} from './createCoreFixture.ts';
import {fitSlope} from './fitSlope.ts';
import {serveRequest} from './serveRequest.ts';
import type {Slope} from './slope.ts';

const ENDPOINT_COUNTS = [100, 1000, 4200];
const ACCOUNT_COUNTS = [100, 1300];
const CONNECTED_ENDPOINTS = 60;
const REQUEST_COUNT = 400;
const TICK_COUNT = 400;
const IN_FLIGHT_COUNTS = [10, 100, 400];
const CHANGE_COUNT = 200;
const MICROSECONDS_PER_MILLISECOND = 1000;
const BYTES_PER_KILOBYTE = 1000;

function timeEach(repetitions: number, run: (number: number) => void): number {
  // The first half warms up the compiler and is not measured.
  for (let number = 0; number < repetitions; number += 1) run(number);
  const startedAt = performance.now();
  for (let number = 0; number < repetitions; number += 1) {
    run(repetitions + number);
  }
  const elapsed = performance.now() - startedAt;
  return (elapsed * MICROSECONDS_PER_MILLISECOND) / repetitions;
}

function measureRequests(): Slope {
  const points = ENDPOINT_COUNTS.map((endpoints) => {
    const {core} = createCoreFixture({
      accounts: 1300,
      endpoints,
      connected: CONNECTED_ENDPOINTS,
    });
    const value = timeEach(REQUEST_COUNT, (number) => {
      if (!serveRequest(core, `r-${number}`, 1)) throw new Error('unanswered');
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
  const points = IN_FLIGHT_COUNTS.map((inFlight) => {
    const {core} = createCoreFixture({
      accounts: 10,
      endpoints: CONNECTED_ENDPOINTS,
      connected: CONNECTED_ENDPOINTS,
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
    const value = timeEach(
      TICK_COUNT,
      () => void core.handle({tag: 'ticked'}, 1),
    );
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
  const points = ENDPOINT_COUNTS.map((endpoints) => {
    const {log} = createCoreFixture({accounts: 1300, endpoints, connected: 0});
    const value = timeEach(CHANGE_COUNT, (number) => {
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
  const retained = create(size);
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  return retained === null ? 0 : bytes / BYTES_PER_KILOBYTE;
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
 * Measures the entry's core and the configuration log against their size, up to
 * the largest deployment that is designed for. Memory is measured only if Node
 * runs with `--expose-gc`.
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
            ENDPOINT_COUNTS,
            (endpoints) =>
              createCoreFixture({accounts: 0, endpoints, connected: 0}),
          ),
          measureMemory(
            'any process: configuration in memory',
            'account records',
            ACCOUNT_COUNTS,
            (accounts) =>
              createCoreFixture({accounts, endpoints: 0, connected: 0}),
          ),
        ];
  return [measureRequests(), measureTicks(), measureChanges(), ...memory];
}
