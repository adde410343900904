import type {Fault} from './fault.ts';
import type {WayResult} from './wayResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly homes: number;
  readonly leaseSeconds: number;
}

/**
 * A model of way (c): a home holds a lease in the store and remembers; whoever
 * takes over refuses what was issued before. The home must stop by its own
 * clock once it cannot renew, and the successor waits for the lease to lapse.
 *
 * @example
 *     simulateLeases(options).refused;
 */
export function simulateLeases(options: SimulateOptions): WayResult {
  const {fault, random, seconds, requestsPerSecond, homes} = options;
  const {leaseSeconds} = options;

  function isRefused(at: number, home: number): boolean {
    const {storeDown} = fault;
    if (storeDown !== undefined) {
      const lapsesAt = storeDown.from + leaseSeconds;
      if (at >= lapsesAt && at < storeDown.until) return true;
    }
    if (fault.home === undefined || home !== 0) return false;
    if (fault.home.returns === 'handedOver') return false;
    const takenOverAt = fault.home.from + leaseSeconds;
    return at >= fault.home.from && at < takenOverAt;
  }

  let requests = 0;
  let refused = 0;
  for (let at = 0; at < seconds;) {
    at += -Math.log(1 - random()) / requestsPerSecond;
    requests += 1;
    if (isRefused(at, Math.floor(random() * homes))) refused += 1;
  }
  const renewals = seconds / (leaseSeconds / 3);
  return {
    requests,
    refused,
    doubled: 0,
    addedMilliseconds: [0],
    requestWrites: 0,
    homeWrites: homes * renewals,
  };
}
