/**
 * A configuration change that moved a route or a client account between halves.
 * Once there are moves, a new key of an account is recorded like a move.
 * Idempotency keys issued before `issuedFrom` stay with the former half.
 */
export interface HalfMove {
  /** Kind and name of the record, such as `account/portal`. */
  readonly record: string;
  /** Position of the change in the configuration log. */
  readonly sequence: number;
  /** Milliseconds since the epoch; 0 if the operator stated none. */
  readonly issuedFrom: number;
  /** Half before the move; null if shared. */
  readonly from: string | null;
  /** Half after the move; null if shared. */
  readonly to: string | null;
}
