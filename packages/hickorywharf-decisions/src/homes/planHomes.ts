import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeRecord} from './homeRecord.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';
import {planPartition} from './planPartition.ts';

type Interval = HomeRecord['intervals'][number];

/** Earlier intervals kept of each part. */
const MAXIMUM_EARLIER = 3;

function toEarlier(interval: Interval): HomeInterval {
  const {released: _released, slot: _slot, anchor: _anchor, ...rest} = interval;
  return rest;
}

function addEarlier(
  earlier: readonly HomeInterval[],
  replaced: readonly Interval[],
): HomeInterval[] {
  const byKey = Map.groupBy(
    [...earlier, ...replaced.map(toEarlier)],
    getPartitionId,
  );
  return [...byKey.values()].flatMap((intervals) =>
    intervals.slice(-MAXIMUM_EARLIER),
  );
}

/** Halves that are no longer configured keep their intervals. */
function getKnownHalves(record: HomeRecord, options: HomePlanOptions) {
  return new Set([
    ...options.halves,
    ...record.intervals.map(({half}) => half),
  ]);
}

/**
 * What this endpoint process wants the record of its pool's homes to become,
 * or null where nothing is to change. A successor's interval starts where its
 * predecessor's ends, so that no key can be run by both.
 *
 * @example
 *     planHomes(record, options);
 */
export function planHomes(
  record: HomeRecord,
  options: HomePlanOptions,
): HomeRecord | null {
  // Whoever knows fewer moves could hand keys to the half that lost them.
  if (options.assignmentSequence < record.assignmentSequence) return null;
  const newest = new Map(
    record.intervals.map((interval) => [getPartitionId(interval), interval]),
  );
  const planned: Interval[] = [];
  const replaced: Interval[] = [];
  let changed = false;
  for (const half of getKnownHalves(record, options)) {
    const isConfigured = options.halves.includes(half);
    const mayOwn = isConfigured && !options.leaving;
    const getOwner = options.getOwners(half);
    for (let part = 0; part < options.partitionCount; part += 1) {
      const key = getPartitionId({pool: options.pool, half, part});
      const current = newest.get(key);
      const isOwner = mayOwn && getOwner(part) === options.name;
      const place = {half, part, isOwner};
      const next = planPartition(options, place, current);
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
