import {getIssueTimeCeiling} from './getIssueTimeCeiling.ts';
import type {HomeRecord} from './homeRecord.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

type Interval = HomeRecord['intervals'][number];

interface Partition {
  /** Null for shared requests. */
  readonly half: string | null;
  /** Number of the partition. */
  readonly part: number;
  /** Whether this process should be the home of the partition. */
  readonly isOwner: boolean;
}

/**
 * An interval is extended once at most this share of the length of a new one
 * remains.
 */
const EXTEND_BELOW_SHARE = 2 / 3;

function takeOver(
  options: HomePlanOptions,
  {half, part}: Partition,
  previous: Interval | undefined,
): Interval {
  const {pool, name, incarnation, slot, assignmentSequence} = options;
  const {wallNow, monotonicNow, intervalMilliseconds} = options;
  // The first interval of a partition includes every earlier issue time.
  const from = previous?.until ?? 0;
  return {
    pool,
    part,
    half,
    home: name,
    incarnation,
    epoch: (previous?.epoch ?? 0) + 1,
    from,
    until: Math.max(wallNow, from) + intervalMilliseconds,
    assignmentSequence,
    released: false,
    slot,
    anchor: {issueTime: wallNow, monotonic: monotonicNow},
  };
}

function release(
  options: HomePlanOptions,
  interval: Interval,
  pendingUntil: number | undefined,
): Interval {
  const acceptedUntil = options.getAcceptedUntil(interval.half, interval.part);
  const end = Math.max(options.wallNow, acceptedUntil, interval.from);
  // An earlier write of this release may still be applied, and keys from its
  // end on have been refused, so a retry keeps that end.
  const until = Math.min(interval.until, pendingUntil ?? end);
  return {...interval, until, released: true};
}

function extend(options: HomePlanOptions, interval: Interval): Interval {
  const {wallNow, monotonicNow, intervalMilliseconds} = options;
  const remaining = interval.until - wallNow;
  if (remaining > intervalMilliseconds * EXTEND_BELOW_SHARE) return interval;
  // Keeps the ceiling from decreasing when the wall clock steps back.
  const reached = getIssueTimeCeiling(interval.anchor, monotonicNow, 0);
  return {
    ...interval,
    until: wallNow + intervalMilliseconds,
    anchor: {
      issueTime: Math.max(wallNow, reached + 1),
      monotonic: monotonicNow,
    },
  };
}

/**
 * Releases the interval of a predecessor in the same slot, whose process has
 * ended. The new end is above every issue time that the predecessor can have
 * run; the wall clock has no part in it.
 */
function endPredecessor(
  options: HomePlanOptions,
  interval: Interval,
): Interval {
  const {monotonicNow, maximumSkewMilliseconds} = options;
  const ceiling = getIssueTimeCeiling(
    interval.anchor,
    monotonicNow,
    maximumSkewMilliseconds,
  );
  const reached = Math.max(interval.from, ceiling + 1);
  return {
    ...interval,
    until: Math.min(interval.until, reached),
    released: true,
  };
}

function planHeld(
  options: HomePlanOptions,
  partition: Partition,
  current: Interval,
): Interval {
  const pending = options.getPendingRelease(current);
  const isBehind = current.assignmentSequence < options.assignmentSequence;
  const mustRelease = pending !== undefined || !partition.isOwner || isBehind;
  return mustRelease
    ? release(options, current, pending)
    : extend(options, current);
}

/**
 * Computes the newest interval that this endpoint process wants for one
 * partition. Returns `current` itself if nothing is to change, and undefined if
 * the partition has no interval and this process takes none. An owner takes the
 * partition over once the newest interval is released, or has ended by the wall
 * clock of this process.
 *
 * @param current newest interval of the partition in the record; undefined if
 *   the partition has none
 * @example
 *     const partition = {half: null, part: 0, isOwner: true};
 *     planPartition(options, partition, undefined)?.epoch; // 1
 */
export function planPartition(
  options: HomePlanOptions,
  partition: Partition,
  current: Interval | undefined,
): Interval | undefined {
  const {name, incarnation, slot, wallNow} = options;
  if (current === undefined) {
    return partition.isOwner
      ? takeOver(options, partition, undefined)
      : undefined;
  }
  if (!current.released && current.home === name) {
    if (current.incarnation === incarnation) {
      return planHeld(options, partition, current);
    }
    const isSameSlot = slot !== '' && current.slot === slot;
    if (isSameSlot) return endPredecessor(options, current);
  }
  const isOver = current.released || wallNow >= current.until;
  return partition.isOwner && isOver
    ? takeOver(options, partition, current)
    : current;
}
