import type {Fault} from './fault.ts';
import type {StrategyResult} from './strategyResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  /** Homes that each write their own batches. */
  readonly homes: number;
  /** Time for which a home collects claims; 0 for one write per claim. */
  readonly batchMilliseconds: number;
  /** Write capacity of the store. */
  readonly storeWritesPerSecond: number;
}

const DEADLINE_MILLISECONDS = 2000;
const STORE_LATENCY_MILLISECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Simulates claims in the store: strategy (a) writes each claim separately,
 * strategy (b) batches the claims that a home collects in a short time. Writes
 * queue for the store's capacity; a claim that would miss its deadline is
 * refused and its action does not run.
 *
 * @example
 *     simulateClaims(options).refused;
 */
export function simulateClaims(options: SimulateOptions): StrategyResult {
  const {fault, random, seconds, requestsPerSecond, homes} = options;
  const {batchMilliseconds, storeWritesPerSecond} = options;
  const writeMilliseconds = MILLISECONDS_PER_SECOND / storeWritesPerSecond;
  const batchOpenUntil = new Array<number>(homes).fill(-1);
  const writtenAt = new Array<number>(homes).fill(0);
  const latencies: number[] = [];
  let storeFreeAt = 0;
  let writes = 0;
  let requests = 0;
  let refused = 0;

  function isStoreDown(time: number): boolean {
    const {storeDown} = fault;
    if (storeDown === undefined) return false;
    const at = time / MILLISECONDS_PER_SECOND;
    return at >= storeDown.from && at < storeDown.until;
  }

  /** Only batches depend on their home; any process writes a single claim. */
  function isHomeDown(home: number, time: number): boolean {
    if (batchMilliseconds === 0 || fault.home === undefined) return false;
    const at = time / MILLISECONDS_PER_SECOND;
    const isPlanned = fault.home.returns === 'handedOver';
    return (
      home === 0 && !isPlanned && at >= fault.home.from && at < fault.home.until
    );
  }

  function write(readyAt: number): number {
    const startsAt = Math.max(readyAt, storeFreeAt);
    storeFreeAt = startsAt + writeMilliseconds;
    writes += 1;
    const isLost = random() < (fault.lostResponseShare ?? 0);
    // A lost response is detected by a timeout of 1 s and resolved by a read.
    const readDelay = isLost
      ? MILLISECONDS_PER_SECOND + STORE_LATENCY_MILLISECONDS
      : 0;
    return startsAt + STORE_LATENCY_MILLISECONDS + readDelay;
  }

  const meanGapMilliseconds = MILLISECONDS_PER_SECOND / requestsPerSecond;
  const endMilliseconds = seconds * MILLISECONDS_PER_SECOND;
  for (
    let time = 0;
    time < endMilliseconds;
    time += meanGapMilliseconds * -Math.log(1 - random())
  ) {
    requests += 1;
    const home = Math.floor(random() * homes);
    if (isStoreDown(time) || isHomeDown(home, time)) {
      refused += 1;
      continue;
    }
    if (time >= batchOpenUntil[home]!) {
      const startsAt = Math.max(time + batchMilliseconds, storeFreeAt);
      const isTooLate =
        startsAt + STORE_LATENCY_MILLISECONDS - time > DEADLINE_MILLISECONDS;
      if (isTooLate) {
        refused += 1;
        continue;
      }
      batchOpenUntil[home] = time + batchMilliseconds;
      writtenAt[home] = write(time + batchMilliseconds);
    }
    const latency = writtenAt[home]! - time;
    if (latency > DEADLINE_MILLISECONDS) refused += 1;
    else latencies.push(latency);
  }
  return {
    requests,
    refused,
    duplicated: 0,
    addedLatenciesMilliseconds: latencies,
    requestWrites: writes,
    homeWrites: 0,
  };
}
