import type {Fault} from './fault.ts';
import type {StrategyResult} from './strategyResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly homes: number;
  readonly leaseSeconds: number;
}

/**
 * Simulates strategy (c): a home holds a lease in the store and keeps in memory
 * the keys that it ran; its successor refuses keys issued before it took over.
 * A home that cannot renew stops by its own clock, and the successor waits
 * until the lease expires.
 *
 * @example
 *     simulateLeases(options).refused;
 */
export function simulateLeases(options: SimulateOptions): StrategyResult {
  const {fault, random, seconds, requestsPerSecond, homes} = options;
  const {leaseSeconds} = options;

  function isRefused(at: number, home: number): boolean {
    const {storeDown} = fault;
    if (storeDown !== undefined) {
      const expiresAt = storeDown.from + leaseSeconds;
      if (at >= expiresAt && at < storeDown.until) return true;
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
    duplicated: 0,
    addedLatenciesMilliseconds: [0],
    requestWrites: 0,
    homeWrites: homes * renewals,
  };
}
