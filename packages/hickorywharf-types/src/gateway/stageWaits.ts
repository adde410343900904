/** Estimated waits at a service for a group of pieces that arrives now. */
export interface StageWaits {
  readonly service: string;
  /** Waits of a timely group by priority; the last is for all larger ones. */
  readonly timelyMilliseconds: readonly number[];
  /** Wait of a group that comes after all work that is queued now. */
  readonly totalMilliseconds: number;
}
