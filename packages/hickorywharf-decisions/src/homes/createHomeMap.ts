import {getPartitionId} from './getPartitionId.ts';
import type {HomeMap} from './homeMap.ts';
import type {HomeRecord} from './homeRecord.ts';

/**
 * Indexes a pool's home record by partition.
 *
 * @param revision revision of the store at which the record was read or written
 * @example
 *     createHomeMap(emptyHomeRecord, 0).partitions.size; // 0
 */
export function createHomeMap(record: HomeRecord, revision: number): HomeMap {
  const earlier = Map.groupBy(record.earlier, getPartitionId);
  const partitions = new Map(
    record.intervals.map((newest) => {
      const partitionId = getPartitionId(newest);
      return [
        partitionId,
        {newest, all: [...(earlier.get(partitionId) ?? []), newest]},
      ];
    }),
  );
  const halves = new Set(record.intervals.map(({half}) => half));
  return {revision, record, partitions, halves};
}
