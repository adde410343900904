import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {EntryState} from '../entryState.ts';
import {getPoolLoad} from '../load/getPoolLoad.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';

type RecordOf<Kind> = Extract<ConfigurationRecord, {kind: Kind}>;

interface Arrival {
  readonly pipeline: RecordOf<'pipeline'>;
  readonly account: RecordOf<'account'>;
  readonly deadlineMilliseconds: number;
}

/** Returns null to admit; to refuse, the seconds to wait before a retry. */
type AdmissionPolicy = (state: EntryState, arrival: Arrival) => number | null;

const MILLISECONDS_PER_SECOND = 1000;

function getWaitMilliseconds(state: EntryState, pool: string): number {
  const {attempts, capacity} = getPoolLoad(state, pool);
  // Without a result or a usable endpoint there is no estimate: admit.
  const service = state.load.serviceMilliseconds.get(`pool/${pool}`) ?? 0;
  if (capacity === 0) return 0;
  return Math.max(0, attempts / capacity - 1) * service;
}

function isOverFairShare(state: EntryState, name: string): boolean {
  let arrivals = 0;
  let weights = 0;
  for (const account of state.load.accounts.values()) {
    arrivals += account.arrivals;
    weights += account.weight;
  }
  const current = state.load.accounts.get(name);
  if (current === undefined || weights === 0) return false;
  const fair = (arrivals * current.weight) / weights;
  return current.arrivals > fair * LOAD_LIMITS.fairShareTolerance;
}

/**
 * Estimates, for all entries, the requests at earlier stages that have yet to
 * reach a pool, since all of them may reach it at once.
 */
function countUpcoming(state: EntryState, pool: string): number {
  let count = 0;
  for (const {pipeline, stageIndex} of state.requests.rows()) {
    const later = pipeline.stages.findLastIndex((stage) => stage.pool === pool);
    if (later > stageIndex) count += 1;
  }
  return count * state.load.entryCount;
}

/**
 * Policies that decide on arrival whether a request can be answered in time, by
 * the names that settings use. `none` is the baseline. `estimate` adds up the
 * average times of the stages and the queueing times of their pools; an account
 * over its fair share is refused earlier, which leaves capacity for others.
 */
export const admissionPolicies: Readonly<Record<string, AdmissionPolicy>> = {
  none: () => null,
  estimate(state, {pipeline, account, deadlineMilliseconds}) {
    let service = 0;
    let wait = 0;
    for (const [index, {pool}] of pipeline.stages.entries()) {
      const key = `${pipeline.name}/${index}`;
      service += state.load.serviceMilliseconds.get(key) ?? 0;
      const {capacity} = getPoolLoad(state, pool);
      const poolService =
        state.load.serviceMilliseconds.get(`pool/${pool}`) ?? 0;
      const upcoming =
        index === 0 || capacity === 0
          ? 0
          : (countUpcoming(state, pool) / capacity) * poolService;
      const waiting = getWaitMilliseconds(state, pool);
      // Upcoming requests matter only once requests wait at the pool.
      wait += waiting > 0 ? waiting + upcoming : 0;
    }
    const slack = deadlineMilliseconds - service;
    const share = isOverFairShare(state, account.name)
      ? LOAD_LIMITS.maximumQueueTimeShareOverFairShare
      : LOAD_LIMITS.maximumQueueTimeShare;
    if (wait <= slack * share) return null;
    return Math.max(1, Math.ceil(wait / MILLISECONDS_PER_SECOND));
  },
};
