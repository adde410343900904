/** The outcome of one piece of a call to an endpoint. */
export type PieceOutcome =
  | {readonly tag: 'made'; readonly handle: string}
  /** Its time had run out when its turn came. */
  | {readonly tag: 'late'}
  /** A result that it reads no longer exists. */
  | {readonly tag: 'inputGone'}
  /** The endpoint has no free memory for the result. */
  | {readonly tag: 'noRoom'}
  | {readonly tag: 'failed'};
