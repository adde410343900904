/**
 * A change of configuration that moved a route or a client account between
 * halves. Keys issued before `issuedFrom` stay with the half it came from.
 */
export interface HalfMove {
  /** Kind and name of the record, such as `account/portal`. */
  readonly record: string;
  /** Position of the change in the configuration log. */
  readonly sequence: number;
  /** Milliseconds since the epoch; 0 where the operator stated none. */
  readonly issuedFrom: number;
  readonly from: string | null;
  readonly to: string | null;
}
