import type {Fault} from './fault.ts';
import type {WayResult} from './wayResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  /** Homes that write for themselves. */
  readonly homes: number;
  /** Time for which a home gathers claims; 0 for a write each. */
  readonly batchMilliseconds: number;
  /** Writes a second that the store takes. */
  readonly storeWritesPerSecond: number;
}

const DEADLINE_MILLISECONDS = 2000;
const STORE_MILLISECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * A model of claims in the store, way (a) with a write each and way (b) with
 * writes that each carry a home's claims of a short time. Claims queue for the
 * store's capacity; a claim that cannot be in time is given up unrun.
 *
 * @example
 *     simulateClaims(options).refused;
 */
export function simulateClaims(options: SimulateOptions): WayResult {
  const {fault, random, seconds, requestsPerSecond, homes} = options;
  const {batchMilliseconds, storeWritesPerSecond} = options;
  const writeMilliseconds = MILLISECONDS_PER_SECOND / storeWritesPerSecond;
  const openUntil = new Array<number>(homes).fill(-1);
  const doneAt = new Array<number>(homes).fill(0);
  const waits: number[] = [];
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

  /** Without a home, batches wait; a single claim is written by anyone. */
  function isHomeGone(home: number, time: number): boolean {
    if (batchMilliseconds === 0 || fault.home === undefined) return false;
    const at = time / MILLISECONDS_PER_SECOND;
    const isShort = fault.home.returns === 'handedOver';
    return (
      home === 0 && !isShort && at >= fault.home.from && at < fault.home.until
    );
  }

  function write(readyAt: number): number {
    const startsAt = Math.max(readyAt, storeFreeAt);
    storeFreeAt = startsAt + writeMilliseconds;
    writes += 1;
    const isLost = random() < (fault.lostAnswers ?? 0);
    // A lost answer is found out at a time-out and settled by a read.
    const settling = isLost ? MILLISECONDS_PER_SECOND + STORE_MILLISECONDS : 0;
    return startsAt + STORE_MILLISECONDS + settling;
  }

  const gap = MILLISECONDS_PER_SECOND / requestsPerSecond;
  const end = seconds * MILLISECONDS_PER_SECOND;
  for (let time = 0; time < end; time += gap * -Math.log(1 - random())) {
    requests += 1;
    const home = Math.floor(random() * homes);
    if (isStoreDown(time) || isHomeGone(home, time)) {
      refused += 1;
      continue;
    }
    if (time >= openUntil[home]!) {
      const startsAt = Math.max(time + batchMilliseconds, storeFreeAt);
      const isTooLate =
        startsAt + STORE_MILLISECONDS - time > DEADLINE_MILLISECONDS;
      if (isTooLate) {
        refused += 1;
        continue;
      }
      openUntil[home] = time + batchMilliseconds;
      doneAt[home] = write(time + batchMilliseconds);
    }
    const wait = doneAt[home]! - time;
    if (wait > DEADLINE_MILLISECONDS) refused += 1;
    else waits.push(wait);
  }
  return {
    requests,
    refused,
    doubled: 0,
    addedMilliseconds: waits,
    requestWrites: writes,
    homeWrites: 0,
  };
}
