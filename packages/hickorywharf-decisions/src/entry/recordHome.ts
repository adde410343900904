import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {getPartitionId} from '../homes/getPartitionId.ts';
import type {EntryState} from './entryState.ts';

/** Intervals remembered of each part. */
const MAXIMUM_INTERVALS = 4;

/**
 * Remembers an interval that an endpoint process told of. It is a hint: the
 * home itself decides whether it may run a key.
 *
 * @returns whether it was not known before
 * @example
 *     recordHome(state, interval);
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
