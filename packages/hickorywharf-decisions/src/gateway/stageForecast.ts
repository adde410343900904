/** Expected work and wait of one stage of a call. */
export interface StageForecast {
  /** Positions of the stages whose results it reads, all before its own. */
  readonly after: readonly number[];
  /** Time from its order to its end with an empty queue; 0 if it is skipped. */
  readonly workMilliseconds: number;
  /** Time in the queue if the stage waits only for timely work. */
  readonly timelyWaitMilliseconds: number;
  /** Time in the queue if the stage waits for all work that is queued now. */
  readonly totalWaitMilliseconds: number;
}
