/** Constants of the decision core of an entry. */
export const ENTRY_LIMITS = {
  /** Upper bound of the retry budget, in retries. */
  maximumRetryBudget: 50,
  /** Retries that each answered request adds to the retry budget. */
  retryBudgetPerAnswer: 0.1,
  /** Attempts of an idempotent stage, the first included; then it fails. */
  maximumAttemptsPerStage: 6,
  /** Pause before a failed stage is dispatched again. */
  retryPauseMilliseconds: 20,
  /** Pause before another choice where no endpoint or home could be used. */
  noEndpointPauseMilliseconds: 50,
  /** Time before the deadline when an action is tombstoned, not retried. */
  tombstoneMarginMilliseconds: 100,
  /** Time without a frame after which an endpoint gets no new attempts. */
  silenceTimeoutMilliseconds: 1500,
  /** Time between two ticks that counts as a pause of this process. */
  processPauseMilliseconds: 500,
  /** Time for a reconnection before a stage is retried elsewhere. */
  reconnectTimeoutMilliseconds: 200,
  /** Weight of a new sample in the moving average of a stage duration. */
  estimateWeight: 0.1,
} as const;
