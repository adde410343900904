import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {HomeMap} from './homeMap.ts';
import {getPartitionId} from './getPartitionId.ts';

/**
 * Finds the intervals that an endpoint has to announce to entries: those that
 * were taken or released under its name since an earlier version of the record.
 * Extensions are left out, since an entry routes every later key to the newest
 * home.
 *
 * @param before the version announced last; null for a peer to which nothing
 *   was announced: all newest intervals of the endpoint are returned then
 * @param name name of the endpoint
 * @example
 *     findChangedHomes(null, homes, 'desk-1')[0]?.home; // 'desk-1'
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
