/** State of the queue policies of an endpoint process. */
export interface SchedulerState {
  /** Work units that each account received, divided by its weight. */
  readonly servedByAccount: Map<string, number>;
  /**
   * Least value among the accounts with queued attempts, which never decreases.
   * Accounts without a value start from it.
   */
  minimumService: number;
  /** When short work last waited or ran, in monotonic milliseconds. */
  shortSeenAt: number;
  /** Moving average of the backend time of a work unit, by stage kind. */
  readonly unitMilliseconds: Map<string, number>;
}
