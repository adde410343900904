/** Limits of calls to backends. */
export const BACKEND_LIMITS = {
  /**
   * The largest response of a pool or service; a larger one fails the call.
   * Together with a caller's body it must fit into one frame, which is limited
   * to 8 MiB.
   */
  maximumResponseBytes: 2 * 1024 * 1024,
  /** The longest line of an engine's stream, which holds one event. */
  maximumEventBytes: 64 * 1024,
  /** One stream: 100,000 tokens, each with an event of 160 bytes. */
  maximumStreamBytes: 16 * 1024 * 1024,
} as const;
