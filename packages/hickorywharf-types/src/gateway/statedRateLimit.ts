/** The rate limit that a response of an endpoint states. */
export type StatedRateLimit =
  /** The response states none, so that the endpoint has none any more. */
  | {readonly tag: 'none'}
  | {
      readonly tag: 'named';
      /** Calls that the endpoint takes from all instances together. */
      readonly callsPerSecond: number;
    }
  /** The response has a limit that is no rate; it changes nothing. */
  | {readonly tag: 'unreadable'; readonly text: string};
