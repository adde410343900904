/** How an endpoint does beside the others of its pool. */
interface EndpointLatencyRow {
  /** Its times as a multiple of what the stages usually take. */
  slowness: number;
  samples: number;
  /** Own attempts that ended since its last report. */
  endedSinceReport: number;
  ejectedUntil: number;
  /** Ejections in a row, by which the next one lasts longer. */
  ejections: number;
  /** It was ejected and has not shown yet that it is well again. */
  isOnProbation: boolean;
}

/** Where a prompt prefix is believed to be cached. */
interface PrefixRow {
  /** Moments at which endpoints were sent the prefix, by name. */
  readonly cachedAt: Map<string, number>;
  /** Prompt tokens that engines reported to have reused, smoothed. */
  reusedTokens: number;
}

interface AccountRow {
  /** Arrivals of late, decayed. */
  arrivals: number;
  arrivalsAt: number;
  weight: number;
  /** Requests that the account may send at once. */
  allowance: number;
  allowanceAt: number;
}

/** What an entry has learnt for its policies. Times are monotonic. */
export interface EntryLoad {
  /** Backend time by `pipeline/stageIndex` and by `pool/NAME`, smoothed. */
  readonly serviceMilliseconds: Map<string, number>;
  readonly latencies: Map<string, EndpointLatencyRow>;
  /** By a hash of the start of the text. */
  readonly prefixes: Map<number, PrefixRow>;
  readonly accounts: Map<string, AccountRow>;
  /** Live entries, this one included, as the instance list has it. */
  entryCount: number;
  /** Hedges that may be sent; grows with answers. */
  hedgeBudget: number;
}
