/** The load of an endpoint, as its process observed it. */
export interface LoadReport {
  /** Attempts that are queued in the endpoint process. */
  readonly queued: number;
  /** Attempts that the backend is running. */
  readonly running: number;
  /** Attempts that the backend can run in parallel without slowing down. */
  readonly capacity: number;
}
