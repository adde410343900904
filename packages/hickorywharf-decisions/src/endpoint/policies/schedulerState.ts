/** State of the queue policies of an endpoint process. */
export interface SchedulerState {
  /** Work units that each account received, divided by its weight. */
  readonly servedByAccount: Map<string, number>;
  /**
   * Least value among waiting accounts; accounts new to the queue start here.
   */
  minimumService: number;
  /** When short work last waited or ran, in monotonic milliseconds. */
  shortSeenAt: number;
  /** Milliseconds of backend time for a work unit, smoothed, by stage kind. */
  readonly unitMilliseconds: Map<string, number>;
}
