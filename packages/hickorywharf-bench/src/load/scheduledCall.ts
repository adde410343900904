/** A call with the time at which it is to be sent. */
export interface ScheduledCall {
  /** Counted from the start of the run. */
  readonly atMilliseconds: number;
  /** Index of the phase that the call belongs to. */
  readonly phase: number;
  readonly account: string;
  readonly pipeline: string;
  readonly text: string;
  /** Length of the prefix that the text shares with other calls. */
  readonly prefixCharacters: number;
  readonly maximumTokens: number;
  /** Random number in [0, 1) that selects the entry to send to. */
  readonly entryFraction: number;
}
