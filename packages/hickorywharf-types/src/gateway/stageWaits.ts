/** Estimated waits at a service for a group of pieces that arrives now. */
export interface StageWaits {
  readonly service: string;
  /** For a timely group, by priority; the last also for all larger ones. */
  readonly timelyMilliseconds: readonly number[];
  /** For a group behind everything that is waiting. */
  readonly totalMilliseconds: number;
}
