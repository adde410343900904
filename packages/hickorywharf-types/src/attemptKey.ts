/** Identifies one attempt to run one stage of one request. */
export interface AttemptKey {
  readonly requestId: string;
  /** Position of the stage in its pipeline. */
  readonly stageIndex: number;
  readonly attemptId: string;
}
