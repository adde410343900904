/** Faults that can be injected into the store stand-in. */
export interface StoreFaults {
  /** Every call is refused. */
  unavailable: boolean;
  /** Time added to each call, to simulate slow periods. */
  latencyMilliseconds: number;
  /** Number of next writes that are applied but whose responses are lost. */
  loseWriteAnswers: number;
  /** Number of next changes that are never delivered to watchers. */
  dropWatchEvents: number;
  /** Time until a change is delivered to watchers. */
  delayWatchMilliseconds: number;
  /** Delivers several changes to watchers in reverse order. */
  reverseWatchEvents: boolean;
  /** Number of next lease renewals that find the lease expired. */
  lapseLeases: number;
  /** Calls over these rates are refused; 0 means no limit. */
  writesPerSecond: number;
  readsPerSecond: number;
}
