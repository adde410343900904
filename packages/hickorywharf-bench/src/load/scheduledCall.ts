/** A call with the moment at which it is meant to be sent. */
export interface ScheduledCall {
  readonly atMilliseconds: number;
  /** Index of the phase of the load that it belongs to. */
  readonly phase: number;
  readonly account: string;
  readonly pipeline: string;
  readonly text: string;
  /** Length of the part of the text that other calls start with as well. */
  readonly prefixCharacters: number;
  readonly maximumTokens: number;
  /** In [0, 1): which of the entries the balancer chooses. */
  readonly entryShare: number;
}
