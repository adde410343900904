import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {getPartitionId} from '../homes/getPartitionId.ts';
import type {EntryState} from './entryState.ts';

/** Intervals kept for each partition; older ones are dropped. */
const MAXIMUM_INTERVALS = 4;

/**
 * Stores an interval that an endpoint process reported. It is only a hint for
 * routing: the home itself decides whether it may run a key.
 *
 * @returns whether the epoch of the interval was not known before
 * @example
 *     recordHome(state, interval); // true
 */
export function recordHome(state: EntryState, home: HomeInterval): boolean {
  const key = getPartitionId(home);
  const known = state.homes.get(key) ?? [];
  const isNew = known.every(({epoch}) => epoch !== home.epoch);
  const intervals = known.filter(({epoch}) => epoch !== home.epoch);
  intervals.push(home);
  intervals.sort((left, right) => left.epoch - right.epoch);
  state.homes.insert(key, intervals.slice(-MAXIMUM_INTERVALS));
  return isNew;
}
