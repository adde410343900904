/** Why an attempt ended without a whole answer. */
export type AttemptFailure =
  /** The connection was closed or reset, or carried no valid response. */
  | 'connection'
  /** The response has no proof that it answers the call. */
  | 'unproven'
  /** The response ended, but it is not whole. */
  | 'incomplete'
  /** The response is longer than allowed, or too many are held. */
  | 'size';
