/** Expected work and wait of one stage of a call. */
export interface StageForecast {
  /** Positions of the stages that it reads; all before its own. */
  readonly after: readonly number[];
  /** Time from its order to its end without queueing; 0 if it is skipped. */
  readonly workMilliseconds: number;
  /** Wait if only timely work goes first. */
  readonly timelyWaitMilliseconds: number;
  /** Wait if everything that is waiting goes first. */
  readonly totalWaitMilliseconds: number;
}
