/** What may be made to go wrong with the store stand-in. */
export interface StoreFaults {
  /** Every call is refused. */
  unavailable: boolean;
  /** Time that each call takes, for slow periods. */
  latencyMilliseconds: number;
  /** The next so many writes take effect and their answers are lost. */
  loseWriteAnswers: number;
  /** The next so many changes are never told to watchers. */
  dropWatchEvents: number;
  /** Watchers are told of a change so much later. */
  delayWatchMilliseconds: number;
  /** Watchers are told of several changes in the wrong order. */
  reverseWatchEvents: boolean;
  /** The next so many renewals of leases find them lapsed. */
  lapseLeases: number;
  /** Calls over these rates are refused; 0 for no limit. */
  writesPerSecond: number;
  readsPerSecond: number;
}
