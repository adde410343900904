/** What an instance knows of the rate limit of one endpoint. */
export interface EndpointLimitReport {
  readonly endpointId: string;
  /** Start of the endpoint's incarnation, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** The limit for all instances together; null if it has ended. */
  readonly callsPerSecond: number | null;
  /** Time since the endpoint stated it. */
  readonly ageMilliseconds: number;
  /** Identifies the response that stated it, among those to all instances. */
  readonly source: string;
}
