/** Constants of an entry's policies. */
export const LOAD_LIMITS = {
  /** Weight of a new sample in a moving average. */
  sampleWeight: 0.1,
  /**
   * Multiple of the pool's median above which an endpoint is ejected, for its
   * slowness and for the age of its oldest attempt.
   */
  ejectionFactor: 3,
  /**
   * Time over the usual from which the age of an attempt counts. Below it, a
   * short stage may take three times its usual time due to a pause of the
   * machine.
   */
  ejectionMinimumMilliseconds: 400,
  /** Samples from which on the slowness of an endpoint counts. */
  ejectionSamples: 5,
  /** Share of a pool that may be ejected at once. */
  maximumEjectedShare: 0.34,
  /** Duration of a first ejection. */
  ejectionMilliseconds: 5000,
  maximumEjectionMilliseconds: 60_000,
  /** Multiple of the usual stage time after which an attempt is hedged. */
  hedgeFactor: 4,
  /** Replaces `hedgeFactor` at an endpoint on probation. */
  slowEndpointHedgeFactor: 1.5,
  /** Age below which no attempt is hedged. */
  hedgeMinimumMilliseconds: 60,
  /** Hedges that each answered request adds to the hedge budget. */
  hedgeBudgetPerAnswer: 0.05,
  /** Upper bound of the hedge budget, in hedges. */
  maximumHedgeBudget: 10,
  /** Load of a pool above which nothing is hedged. */
  hedgeMaximumLoad: 0.9,
  /** Share of the slack before its deadline that a request may be queued. */
  maximumQueueTimeShare: 0.5,
  /** Replaces `maximumQueueTimeShare` for an account over its fair share. */
  maximumQueueTimeShareOverFairShare: 0.15,
  /** Multiple of its fair share above which an account is over it. */
  fairShareTolerance: 1.5,
  /** Half-life of the count of an account's recent arrivals. */
  accountHalfLifeMilliseconds: 2000,
  /** Size of an account's token bucket, in seconds of its rate limit. */
  burstSeconds: 1,
  /** Length of the start of a text that identifies its prefix. */
  prefixCharacters: 256,
  /** Prefixes tracked; the least recently used ones are evicted. */
  maximumPrefixes: 2000,
  /** Half-life of the likelihood that a prefix is still cached. */
  prefixHalfLifeMilliseconds: 30_000,
  /** Reused prompt tokens that outweigh a load of 1. */
  prefixTokensPerLoad: 2000,
  /** Load from which on a cached prefix does not attract requests. */
  prefixMaximumLoad: 1,
  /** Endpoints sampled for each attempt, besides those with the prefix. */
  comparedEndpoints: 4,
  /** Load added in comparisons to an endpoint of another failure domain. */
  failureDomainBias: 0.05,
} as const;
