/** Expected work and wait of one stage of a call. */
export interface StageForecast {
  /** Positions of the stages whose results it reads; all precede its own. */
  readonly after: readonly number[];
  /** Time from its order to its end with an empty queue; 0 if it is skipped. */
  readonly workMilliseconds: number;
  /** Time in the queue if only timely work goes first. */
  readonly timelyWaitMilliseconds: number;
  /** Time in the queue if all work that is queued now goes first. */
  readonly totalWaitMilliseconds: number;
}
