/** Limits of the decision core of an endpoint process. */
export const ENDPOINT_LIMITS = {
  /** How long a tombstone refuses a delayed frame. */
  tombstoneMilliseconds: 600_000,
  /**
   * How long an evicted attempt of an action stays known to have started.
   * Longer than any deadline, so that such an attempt is never reported as
   * `neverRan`.
   */
  begunActionMilliseconds: 7_200_000,
  /** How long the outcome of a finished action is retained for its key. */
  actionMilliseconds: 600_000,
  /** Tokens of one frame when a generation is replayed. */
  replayTokens: 500,
  /**
   * With more actions than this, the oldest finished ones are evicted early.
   */
  maximumActions: 50_000,
  /** How long a leaving or draining home accepts keys that only it may run. */
  handOverMilliseconds: 1500,
} as const;
