import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {EntryLoad} from './entryLoad.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

type AccountRecord = Extract<ConfigurationRecord, {kind: 'account'}>;

const MILLISECONDS = 1000;
/** Arrivals, decayed, under which an account is no longer active. */
const FORGOTTEN_ARRIVALS = 0.01;

function decayArrivals(load: EntryLoad, now: number): void {
  for (const [name, account] of load.accounts) {
    const elapsed = now - account.arrivalsAt;
    const halves = elapsed / LOAD_LIMITS.accountHalfLifeMilliseconds;
    account.arrivals *= 0.5 ** halves;
    account.arrivalsAt = now;
    if (account.arrivals < FORGOTTEN_ARRIVALS) load.accounts.delete(name);
  }
}

/**
 * Counts a request of an account. An entry allows its part of the account's
 * limit, by the number of live entries, so that the limit holds in sum without
 * a central counter.
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
  const most = Math.max(1, rate * LOAD_LIMITS.burstSeconds);
  const row = load.accounts.get(name);
  const earned = ((now - (row?.allowanceAt ?? now)) * rate) / MILLISECONDS;
  const allowance = Math.min(most, (row?.allowance ?? most) + earned);
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
