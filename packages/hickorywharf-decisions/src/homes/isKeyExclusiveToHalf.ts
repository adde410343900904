import {findInterval} from './findInterval.ts';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeMap} from './homeMap.ts';

/** Half, partition and issue time of an idempotency key. */
interface KeyPlacement {
  readonly pool: string;
  /** Half to which the move assigns the key; null for shared requests. */
  readonly half: string | null;
  /** Number of the partition. */
  readonly part: number;
  /** In milliseconds since the Unix epoch. */
  readonly issueTime: number;
}

/**
 * Returns true if a key that a move between halves assigned to its half can
 * have run, and can run, only at homes of that half. Each home of another half
 * whose interval contains the issue time must have taken the interval with
 * knowledge of the move: such a home refuses the key.
 *
 * @param sequence sequence number of the move in the configuration log
 * @example
 *     const placement = {pool, half, part, issueTime};
 *     isKeyExclusiveToHalf(homes, placement, move.sequence); // true
 */
export function isKeyExclusiveToHalf(
  homes: HomeMap,
  {pool, half, part, issueTime}: KeyPlacement,
  sequence: number,
): boolean {
  // While the record has a lower sequence, a process that does not know the
  // move may still take or extend an interval; afterwards planHomes returns
  // null to such a process.
  if (homes.record.assignmentSequence < sequence) return false;
  for (const other of homes.halves) {
    if (other === half) continue;
    const partition = homes.partitions.get(
      getPartitionId({pool, half: other, part}),
    );
    if (partition === undefined) continue;
    // The record no longer lists the interval that contained this issue time,
    // so its home may have run the key.
    if (issueTime < partition.all[0]!.from) return false;
    const interval = findInterval(partition.all, issueTime);
    // Without an interval, only a later one can contain the issue time, and its
    // home must know the move.
    const isExcluded =
      interval === undefined || interval.assignmentSequence >= sequence;
    if (!isExcluded) return false;
  }
  return true;
}
