import {findInterval} from './findInterval.ts';
import {getPartitionId} from './getPartitionId.ts';
import type {HomeMap} from './homeMap.ts';

interface KeyPlace {
  readonly pool: string;
  readonly half: string | null;
  readonly part: number;
  readonly issueTime: number;
}

/**
 * Whether no home of another half can have run, or can yet run, a key that a
 * move between halves brought here. Each of them must have taken its interval
 * with the move in force.
 *
 * @example
 *     isExclusiveToHalf(homes, place, move.sequence);
 */
export function isExclusiveToHalf(
  homes: HomeMap,
  {pool, half, part, issueTime}: KeyPlace,
  sequence: number,
): boolean {
  // Whoever takes an interval later must know the move: see planHomes.
  if (homes.record.assignmentSequence < sequence) return false;
  for (const other of homes.halves) {
    if (other === half) continue;
    const place = homes.partitions.get(
      getPartitionId({pool, half: other, part}),
    );
    if (place === undefined) continue;
    // Intervals this old are no longer listed.
    if (issueTime < place.all[0]!.from) return false;
    const interval = findInterval(place.all, issueTime);
    const knows =
      interval === undefined || interval.assignmentSequence >= sequence;
    if (!knows) return false;
  }
  return true;
}
