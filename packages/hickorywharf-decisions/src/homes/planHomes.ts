import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeRecord} from './homeRecord.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';
import {planPartition} from './planPartition.ts';

type Interval = HomeRecord['intervals'][number];

/** Earlier intervals that the record keeps for each partition. */
const MAXIMUM_EARLIER = 3;

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
  return [...byPartition.values()].flatMap((intervals) =>
    intervals.slice(-MAXIMUM_EARLIER),
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
 * Computes the home record that this endpoint process wants to write, or null
 * if nothing is to change. A successor's interval starts where its
 * predecessor's ends, so that no key can be run by both.
 *
 * @example
 *     planHomes(record, options);
 */
export function planHomes(
  record: HomeRecord,
  options: HomePlanOptions,
): HomeRecord | null {
  // A process that misses a move could assign keys to the half they left.
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
    const getOwner = options.getOwners(half);
    for (let part = 0; part < options.partitionCount; part += 1) {
      const partitionId = getPartitionId({pool: options.pool, half, part});
      const current = newest.get(partitionId);
      const isOwner = canOwn && getOwner(part) === options.name;
      const partition = {half, part, isOwner};
      const next = planPartition(options, partition, current);
      if (next === undefined) continue;
      planned.push(next);
      if (next === current) continue;
      changed = true;
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
