/** The constants of an entry's policies, with their units. */
export const LOAD_LIMITS = {
  /** Weight of a new sample in smoothed times and reuse. */
  sampleWeight: 0.1,
  /** Slowness, beside the pool's median, at which an endpoint is ejected. */
  ejectionFactor: 3,
  /** Time over the usual at which an attempt's age counts: a short stage
   * that takes thrice its time shows a pause of the machine. */
  ejectionMinimumMilliseconds: 400,
  /** Samples before an endpoint is judged. */
  ejectionSamples: 5,
  /** Share of a pool that may be ejected at once. */
  maximumEjectedShare: 0.34,
  ejectionMilliseconds: 5000,
  maximumEjectionMilliseconds: 60_000,
  /** Age of an attempt, as a multiple of the usual, at which it is hedged. */
  hedgeFactor: 4,
  /** The same at an endpoint that was found slow. */
  slowEndpointHedgeFactor: 1.5,
  hedgeMinimumMilliseconds: 60,
  hedgeBudgetPerAnswer: 0.05,
  maximumHedgeBudget: 10,
  /** Load of a pool over which nothing is hedged. */
  hedgeMaximumLoad: 0.9,
  /** Share of a request's spare time that it may be expected to wait. */
  maximumQueueTimeShare: 0.5,
  /** The same for an account that offers more than its fair share. */
  maximumQueueTimeShareOverFairShare: 0.15,
  /** Factor on its fair share over which an account offers too much. */
  fairShareTolerance: 1.5,
  /** Time in which half of an account's arrivals are forgotten. */
  accountHalfLifeMilliseconds: 2000,
  /** Seconds of an account's limit that it may save up. */
  burstSeconds: 1,
  /** Start of a text by which its prefix is told. */
  prefixCharacters: 256,
  maximumPrefixes: 2000,
  prefixHalfLifeMilliseconds: 30_000,
  /** Load that the reuse of so many tokens makes up for. */
  prefixTokensPerLoad: 2000,
  /** Load over which a warm prefix draws nothing more. */
  prefixMaximumLoad: 1,
  /** Endpoints compared, besides warm ones, for each attempt. */
  comparedEndpoints: 4,
  /** Load by which another failure domain must be better to be chosen. */
  failureDomainBias: 0.05,
} as const;
