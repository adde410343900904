import {MAXIMUM_PIECE_SENDS} from './maximumPieceSends.ts';

interface HedgeCandidate {
  /** Whether its outcome was reported, or nobody waits for it any more. */
  readonly isSettled: boolean;
  /** Whether it waits to be sent to an endpoint. */
  readonly isQueued: boolean;
  /** How many times it was sent to an endpoint. */
  readonly sends: number;
  /** The calls in progress that it is a part of. */
  readonly calls: Iterable<{readonly isOverdue: boolean}>;
  /** When its result becomes useless, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Expected time that it adds to a call. */
  readonly workMilliseconds: number;
}

/**
 * Picks the pieces that may be sent to one more endpoint while the calls that
 * they are a part of stay open: those for which all calls are overdue, and that
 * a new call can still make before their deadline.
 *
 * @param now monotonic milliseconds
 * @param callMilliseconds fixed time of a call, to which a piece adds its time
 * @example
 *     const calls = [{isOverdue: true}];
 *     const piece = {isSettled: false, isQueued: false, sends: 1, calls, deadlineAt: 5000, workMilliseconds: 10};
 *     findPiecesToHedge([piece], 1000, 200); // [piece]
 */
export function findPiecesToHedge<Piece extends HedgeCandidate>(
  pieces: readonly Piece[],
  now: number,
  callMilliseconds: number,
): Piece[] {
  return pieces.filter(
    (piece) =>
      !piece.isSettled &&
      !piece.isQueued &&
      piece.sends < MAXIMUM_PIECE_SENDS &&
      [...piece.calls].every(({isOverdue}) => isOverdue) &&
      now + callMilliseconds + piece.workMilliseconds < piece.deadlineAt,
  );
}
