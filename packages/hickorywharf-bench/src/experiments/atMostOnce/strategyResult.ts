/** Result of one strategy under one fault. */
export interface StrategyResult {
  readonly requests: number;
  /** Requests whose key never ran although it was sent only once. */
  readonly refused: number;
  /** Keys that ran more than once. */
  readonly duplicated: number;
  /** Latency that the strategy adds to each request that ran. */
  readonly addedLatenciesMilliseconds: readonly number[];
  /** Store writes whose number grows with the requests. */
  readonly requestWrites: number;
  /** Store writes of all homes whose number is independent of the requests. */
  readonly homeWrites: number;
}
