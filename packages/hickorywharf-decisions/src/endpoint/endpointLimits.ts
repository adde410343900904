/** The constants of an endpoint process's decisions, with their units. */
export const ENDPOINT_LIMITS = {
  /** How long a tombstone refuses a delayed frame, in milliseconds. */
  tombstoneMilliseconds: 600_000,
  /**
   * How long it is remembered that an attempt of an action began: longer than
   * any deadline, so that "never ran" is never said of it.
   */
  begunActionMilliseconds: 7_200_000,
  /** How long a finished action's answer is kept for its key. */
  actionMilliseconds: 600_000,
  /** Tokens of one frame when a generation is given again. */
  replayTokens: 500,
  /** Actions kept at most. */
  maximumActions: 50_000,
} as const;
