/** What became of a piece that an endpoint was asked for. */
export type PieceOutcome =
  | {readonly tag: 'made'; readonly handle: string}
  /** Its time was over at its turn. */
  | {readonly tag: 'late'}
  /** A result that it reads is no longer there. */
  | {readonly tag: 'inputGone'}
  /** The endpoint has no memory for the result. */
  | {readonly tag: 'noRoom'}
  | {readonly tag: 'failed'};
