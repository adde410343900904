/** What is expected of one stage of a call, by its position. */
export interface StageForecast {
  /** Positions of the stages that it reads; all before its own. */
  readonly after: readonly number[];
  /** Time from its order where nothing is overloaded; 0 if it is left out. */
  readonly workMilliseconds: number;
  /** Wait behind timely work that goes first. */
  readonly timelyWaitMilliseconds: number;
  /** Wait behind all that waits. */
  readonly totalWaitMilliseconds: number;
}
