import type {HalfMove} from 'hickorywharf-types/halfMove';

/**
 * The half to which keys of an issue time belong, for a record with these
 * moves. Without an issue time the newest assignment counts.
 *
 * @param current the record's half now
 * @example
 *     getHalfAtIssueTime('lisbon', moves, 1_700_000_000_000);
 */
export function getHalfAtIssueTime(
  current: string | null,
  moves: readonly HalfMove[],
  issueTime: number | null,
): string | null {
  if (issueTime === null) return current;
  let half = current;
  for (const move of moves.toReversed()) {
    if (issueTime >= move.issuedFrom) return half;
    half = move.from;
  }
  return half;
}
