/** Estimated waits at a service for a group of pieces that arrives now. */
export interface StageWaits {
  readonly service: string;
  /** Waits of a timely group by priority; the last is for all larger ones. */
  readonly timelyMilliseconds: readonly number[];
  /** Wait of a group that comes after all work that is queued now. */
  readonly totalMilliseconds: number;
  /**
   * Wait of a timely group that exceeds the share of its client account; left
   * out while the queue can be served whole.
   */
  readonly overShareMilliseconds?: number;
  /**
   * As the total, for a group within the share of its client account; left out
   * while the queue can be served whole.
   */
  readonly withinShareMilliseconds?: number;
}
