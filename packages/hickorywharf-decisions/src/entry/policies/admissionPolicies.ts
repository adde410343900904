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

/** Null admits; a number refuses and says when to come back, in seconds. */
type AdmissionPolicy = (state: EntryState, arrival: Arrival) => number | null;

const MILLISECONDS = 1000;

function getWaitMilliseconds(state: EntryState, pool: string): number {
  const {attempts, capacity} = getPoolLoad(state, pool);
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
  const own = state.load.accounts.get(name);
  if (own === undefined || weights === 0) return false;
  const fair = (arrivals * own.weight) / weights;
  return own.arrivals > fair * LOAD_LIMITS.fairShareTolerance;
}

/** Requests at an earlier stage come to later pools all at once. */
function countUpcoming(state: EntryState, pool: string): number {
  let count = 0;
  for (const {pipeline, stageIndex} of state.requests.rows()) {
    const later = pipeline.stages.findLastIndex((stage) => stage.pool === pool);
    if (later > stageIndex) count += 1;
  }
  return count * state.load.entryCount;
}

/**
 * The ways to decide at the door whether a request can be answered in time.
 * `none` is the baseline. `estimate` adds up the usual times of the stages and
 * the waits before their pools; an account that offers more than its fair share
 * is refused earlier, so that the others find room.
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
      const ofPool = state.load.serviceMilliseconds.get(`pool/${pool}`) ?? 0;
      const upcoming =
        index === 0 || capacity === 0
          ? 0
          : (countUpcoming(state, pool) / capacity) * ofPool;
      const waiting = getWaitMilliseconds(state, pool);
      // Upcoming work matters only once the pool is full.
      wait += waiting > 0 ? waiting + upcoming : 0;
    }
    const spare = deadlineMilliseconds - service;
    const share = isOverFairShare(state, account.name)
      ? LOAD_LIMITS.maximumQueueTimeShareOverFairShare
      : LOAD_LIMITS.maximumQueueTimeShare;
    if (wait <= spare * share) return null;
    return Math.max(1, Math.ceil(wait / MILLISECONDS));
  },
};
