/** Identifies one attempt to run one stage of one request. */
export interface AttemptKey {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly attemptId: string;
}
