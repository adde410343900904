import {findInterval} from './findInterval.ts';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeMap} from './homeMap.ts';

interface KeyPosition {
  readonly pool: string;
  readonly half: string | null;
  readonly part: number;
  readonly issueTime: number;
}

/**
 * Whether no home of another half has run or can still run a key that a move
 * between halves assigns to this half. This holds once each of them has taken
 * its interval with knowledge of the move.
 *
 * @param sequence sequence of the move in the configuration log
 * @example
 *     isExclusiveToHalf(homes, position, move.sequence);
 */
export function isExclusiveToHalf(
  homes: HomeMap,
  {pool, half, part, issueTime}: KeyPosition,
  sequence: number,
): boolean {
  // Otherwise a process that doesn't know the move could still take an
  // interval; planHomes refuses that from this sequence on.
  if (homes.record.assignmentSequence < sequence) return false;
  for (const other of homes.halves) {
    if (other === half) continue;
    const partition = homes.partitions.get(
      getPartitionId({pool, half: other, part}),
    );
    if (partition === undefined) continue;
    // The record no longer lists intervals this old.
    if (issueTime < partition.all[0]!.from) return false;
    const interval = findInterval(partition.all, issueTime);
    const knowsMove =
      interval === undefined || interval.assignmentSequence >= sequence;
    if (!knowsMove) return false;
  }
  return true;
}
