/** The outcome of one piece of a call to an endpoint. */
export type PieceOutcome =
  | {readonly tag: 'made'; readonly handle: string}
  /** The time left for the piece ended before the endpoint computed it. */
  | {readonly tag: 'late'}
  /** A result that the piece reads no longer exists. */
  | {readonly tag: 'inputGone'}
  /** The endpoint has no free memory for the result. */
  | {readonly tag: 'noRoom'}
  | {readonly tag: 'failed'};
