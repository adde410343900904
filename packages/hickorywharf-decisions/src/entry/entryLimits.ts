/** The constants of an entry's decisions, with their units. */
export const ENTRY_LIMITS = {
  /** Retries that may be saved up. */
  maximumRetryBudget: 50,
  /** Retries earned by each answered request. */
  retryBudgetPerAnswer: 0.1,
  /** Dispatches of one stage, the first included. */
  maximumAttemptsPerStage: 6,
  /** Pause before a stage is dispatched again, in milliseconds. */
  retryPauseMilliseconds: 20,
  /** Pause while no endpoint can be found, in milliseconds. */
  noEndpointPauseMilliseconds: 50,
  /** Time before the deadline at which an action is tombstoned. */
  tombstoneMarginMilliseconds: 100,
  /** Silence after which an endpoint is given no new work. */
  silenceTimeoutMilliseconds: 1500,
  /** Time between two ticks from which on this process stood still. */
  processPauseMilliseconds: 500,
  /** Time a lost connection has to come back before a stage moves. */
  reconnectTimeoutMilliseconds: 200,
  /** Weight of a new sample in an estimate of stage time. */
  estimateWeight: 0.1,
} as const;
