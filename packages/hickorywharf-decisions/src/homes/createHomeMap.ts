import {getPartitionId} from './getPartitionId.ts';
import type {HomeMap} from './homeMap.ts';
import type {HomeRecord} from './homeRecord.ts';

/**
 * Indexes the record of a pool's homes.
 *
 * @example
 *     createHomeMap(emptyHomeRecord, 0).places.size; // 0
 */
export function createHomeMap(record: HomeRecord, revision: number): HomeMap {
  const earlier = Map.groupBy(record.earlier, getPartitionId);
  const places = new Map(
    record.intervals.map((newest) => {
      const key = getPartitionId(newest);
      return [key, {newest, all: [...(earlier.get(key) ?? []), newest]}];
    }),
  );
  const halves = new Set(record.intervals.map(({half}) => half));
  return {revision, record, partitions: places, halves};
}
