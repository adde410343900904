/** An endpoint's load, as its process saw it. */
export interface LoadReport {
  /** Attempts that wait in the endpoint process. */
  readonly queued: number;
  /** Attempts that the backend works on. */
  readonly running: number;
  /** Attempts that the backend works on at once without slowing down. */
  readonly capacity: number;
}
