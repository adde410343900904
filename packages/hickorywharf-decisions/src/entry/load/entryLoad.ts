/** The latency of an endpoint relative to others, and its ejections. */
interface EndpointLatencyRow {
  /** Moving average of backend times as a multiple of the usual stage time. */
  slowness: number;
  /** Results in `slowness`; 0 again after an ejection. */
  samples: number;
  /** Attempts of this entry that ended since the endpoint's load report. */
  endedSinceReport: number;
  ejectedUntil: number;
  /**
   * Ejections in a row; each doubles the duration of the next one. A passed
   * probation subtracts 1.
   */
  ejections: number;
  /**
   * Whether the endpoint was ejected and has since returned no result in less
   * than twice the usual time.
   */
  isOnProbation: boolean;
}

/** The endpoints that probably have a prompt prefix cached. */
interface PrefixRow {
  /** When each endpoint last returned a generation with it, by name. */
  readonly cachedAt: Map<string, number>;
  /** Moving average of the prompt tokens that engines reused. */
  reusedTokens: number;
}

interface AccountRow {
  /** Recent arrivals, with exponential decay. */
  arrivals: number;
  /** Time to which `arrivals` has decayed. */
  arrivalsAt: number;
  weight: number;
  /** Requests that the token bucket of the account allows at once. */
  allowance: number;
  /** Time of the last refill. */
  allowanceAt: number;
}

/** Statistics of an entry's policies. Times are monotonic milliseconds. */
export interface EntryLoad {
  /** Average backend time, moving, by `pipeline/stageIndex` and `pool/NAME`. */
  readonly serviceMilliseconds: Map<string, number>;
  readonly latencies: Map<string, EndpointLatencyRow>;
  /** By the hash of the first characters of the text. */
  readonly prefixes: Map<number, PrefixRow>;
  readonly accounts: Map<string, AccountRow>;
  /** Live entries in the instance list, this one included. */
  entryCount: number;
  /** Hedges that may be sent now; each answered request adds to it. */
  hedgeBudget: number;
}
