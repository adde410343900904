/** What one way did under one fault. */
export interface WayResult {
  readonly requests: number;
  /** Requests whose key never ran, although it was used once only. */
  readonly refused: number;
  /** Keys that ran more than once. */
  readonly doubled: number;
  /** Latency that the way adds to each request that ran, milliseconds. */
  readonly addedMilliseconds: readonly number[];
  /** Writes that grow with the requests, and writes of each home. */
  readonly requestWrites: number;
  readonly homeWrites: number;
}
