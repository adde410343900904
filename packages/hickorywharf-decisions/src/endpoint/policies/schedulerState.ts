/** What an endpoint process remembers to order its queue. */
export interface SchedulerState {
  /** Work units given to each account by its weight, on a common scale. */
  readonly servedByAccount: Map<string, number>;
  /** Least service of the accounts that wait; newcomers start from it. */
  minimumService: number;
  /** When short work last waited or ran; a place is kept for it for a while. */
  shortSeenAt: number;
  /** Milliseconds of backend time for a work unit, smoothed, by stage kind. */
  readonly unitMilliseconds: Map<string, number>;
}
