import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeRecord} from './homeRecord.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';
import {planPartition} from './planPartition.ts';

type Interval = HomeRecord['intervals'][number];

/**
 * Earlier intervals that the record keeps for each partition. Keys issued
 * before the oldest interval in the record are refused.
 */
const MAXIMUM_EARLIER_INTERVALS = 3;

function toEarlier(interval: Interval): HomeInterval {
  const {released: _released, slot: _slot, anchor: _anchor, ...rest} = interval;
  return rest;
}

function addEarlier(
  earlier: readonly HomeInterval[],
  replaced: readonly Interval[],
): HomeInterval[] {
  const byPartition = Map.groupBy(
    [...earlier, ...replaced.map(toEarlier)],
    getPartitionId,
  );
  // The intervals of a partition are in order, oldest first.
  return [...byPartition.values()].flatMap((intervals) =>
    intervals.slice(-MAXIMUM_EARLIER_INTERVALS),
  );
}

/** Includes halves that are no longer configured, to keep their intervals. */
function getKnownHalves(record: HomeRecord, options: HomePlanOptions) {
  return new Set([
    ...options.halves,
    ...record.intervals.map(({half}) => half),
  ]);
}

/**
 * Computes the home record that this endpoint process wants to write. Returns
 * null if nothing is to change, or if the record was written with knowledge of
 * a move between halves that this process does not know yet. A successor's
 * interval starts where its predecessor's ends, so that both cannot run the
 * same key.
 *
 * @example
 *     planHomes(emptyHomeRecord, options)?.intervals[0]?.from; // 0
 */
export function planHomes(
  record: HomeRecord,
  options: HomePlanOptions,
): HomeRecord | null {
  // A process that does not know the newest move could let the former half run
  // keys that the move assigned to another one.
  if (options.assignmentSequence < record.assignmentSequence) return null;
  const newest = new Map(
    record.intervals.map((interval) => [getPartitionId(interval), interval]),
  );
  const planned: Interval[] = [];
  const replaced: Interval[] = [];
  let changed = false;
  for (const half of getKnownHalves(record, options)) {
    const isConfigured = options.halves.includes(half);
    const canOwn = isConfigured && !options.leaving;
    const getOwner = options.getOwnerLookup(half);
    for (let part = 0; part < options.partitionCount; part += 1) {
      const partitionId = getPartitionId({pool: options.pool, half, part});
      const current = newest.get(partitionId);
      const isOwner = canOwn && getOwner(part) === options.name;
      const partition = {half, part, isOwner};
      const next = planPartition(options, partition, current);
      if (next === undefined) continue;
      planned.push(next);
      // planPartition returns `current` itself if nothing is to change.
      if (next === current) continue;
      changed = true;
      // Only a takeover changes the epoch; it replaces the interval.
      if (current !== undefined && current.epoch !== next.epoch) {
        replaced.push(current);
      }
    }
  }
  if (!changed) return null;
  return {
    assignmentSequence: options.assignmentSequence,
    intervals: planned,
    earlier: addEarlier(record.earlier, replaced),
  };
}
