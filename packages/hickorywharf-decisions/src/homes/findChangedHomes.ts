import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {HomeMap} from './homeMap.ts';
import {getPartitionId} from './getPartitionId.ts';

/**
 * The intervals of an endpoint that entries have to be told of: those that it
 * took or released since an earlier look. Extensions are not told, since an
 * entry takes the newest home for every later key.
 *
 * @param before null for a peer that has been told nothing yet
 * @example
 *     findChangedHomes(null, homes, 'desk-1');
 */
export function findChangedHomes(
  before: HomeMap | null,
  after: HomeMap,
  name: string,
): HomeInterval[] {
  return after.record.intervals
    .filter((interval) => {
      if (interval.home !== name) return false;
      const known = before?.partitions.get(getPartitionId(interval))?.newest;
      return (
        known?.epoch !== interval.epoch || known.released !== interval.released
      );
    })
    .map(
      ({released: _released, slot: _slot, anchor: _anchor, ...home}) => home,
    );
}
