/** For how long a response of an endpoint asks for no further requests. */
export type StatedRetryAfter =
  /** The response states no time. */
  | {readonly tag: 'none'}
  /** Infinite if the number is too large to represent. */
  | {readonly tag: 'named'; readonly milliseconds: number}
  /** The response states something that is no time; it changes nothing. */
  | {readonly tag: 'unreadable'; readonly text: string};
