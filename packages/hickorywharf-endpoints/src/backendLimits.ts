/** Limits of calls to backends. */
export const BACKEND_LIMITS = {
  /**
   * The largest response of a pool or service; a larger one fails the call.
   * Together with a caller's body it must fit into one frame, which is limited
   * to 8 MiB.
   */
  maximumResponseBytes: 2 * 1024 * 1024,
} as const;
