import type {HalfMove} from 'hickorywharf-types/halfMove';

/**
 * Returns the half to which keys of an issue time belong, for a record with
 * these moves; null where the record was not assigned to a half. Without an
 * issue time, the current half applies.
 *
 * @param current the half that the record is assigned to now
 * @param moves the moves of the record, in log order
 * @param issueTime milliseconds since the Unix epoch
 * @example
 *     getHalfAtIssueTime('lisbon', moves, 1_700_000_000_000); // 'lisbon'
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
