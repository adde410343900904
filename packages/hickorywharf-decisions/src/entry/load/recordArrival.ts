import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {EntryLoad} from './entryLoad.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

type AccountRecord = Extract<ConfigurationRecord, {kind: 'account'}>;

const MILLISECONDS_PER_SECOND = 1000;
/** Decayed count below which an inactive account is removed. */
const MINIMUM_ARRIVALS = 0.01;

function decayArrivals(load: EntryLoad, now: number): void {
  for (const [name, account] of load.accounts) {
    const elapsed = now - account.arrivalsAt;
    const halves = elapsed / LOAD_LIMITS.accountHalfLifeMilliseconds;
    account.arrivals *= 0.5 ** halves;
    account.arrivalsAt = now;
    if (account.arrivals < MINIMUM_ARRIVALS) load.accounts.delete(name);
  }
}

/**
 * Counts a request of an account and checks its rate limit. Requests over the
 * limit count too where the fair shares of accounts are compared. Each live
 * entry grants an equal share of the limit, so that the limit holds over all
 * entries without a central counter.
 *
 * @returns whether the account is within its limit
 * @example
 *     recordArrival(state.load, account, now); // true
 */
export function recordArrival(
  load: EntryLoad,
  account: AccountRecord,
  now: number,
): boolean {
  decayArrivals(load, now);
  const {name, weight, requestsPerSecond} = account;
  const rate = requestsPerSecond / load.entryCount;
  const burst = Math.max(1, rate * LOAD_LIMITS.burstSeconds);
  const row = load.accounts.get(name);
  const refill =
    ((now - (row?.allowanceAt ?? now)) * rate) / MILLISECONDS_PER_SECOND;
  const allowance = Math.min(burst, (row?.allowance ?? burst) + refill);
  const isAllowed = allowance >= 1;
  load.accounts.set(name, {
    arrivals: (row?.arrivals ?? 0) + 1,
    arrivalsAt: now,
    weight,
    allowance: isAllowed ? allowance - 1 : allowance,
    allowanceAt: now,
  });
  return isAllowed;
}
