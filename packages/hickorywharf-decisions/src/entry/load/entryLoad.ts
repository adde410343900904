/** The latency of an endpoint relative to others, and its ejections. */
interface EndpointLatencyRow {
  /** Average of its backend times as a multiple of the usual stage time. */
  slowness: number;
  samples: number;
  /** Attempts of this entry that ended since its last load report. */
  endedSinceReport: number;
  ejectedUntil: number;
  /** Ejections in a row; each doubles the duration of the next. */
  ejections: number;
  /** It was ejected and has not answered at the usual speed since. */
  isOnProbation: boolean;
}

/** The endpoints that probably have a prompt prefix cached. */
interface PrefixRow {
  /** When each endpoint last finished a request with it, by name. */
  readonly cachedAt: Map<string, number>;
  /** Moving average of the prompt tokens that engines reused. */
  reusedTokens: number;
}

interface AccountRow {
  /** Recent arrivals, with exponential decay. */
  arrivals: number;
  arrivalsAt: number;
  weight: number;
  /** Requests in the token bucket of the account. */
  allowance: number;
  allowanceAt: number;
}

/** Statistics of an entry's policies. Times are monotonic milliseconds. */
export interface EntryLoad {
  /** Average backend time by `pipeline/stageIndex` and by `pool/NAME`. */
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
