/** The constants of calls to backends, with their units. */
export const BACKEND_LIMITS = {
  /**
   * A larger answer of a pool or service is taken for broken. With a caller's
   * body it must fit into one frame between our processes, of 8 MiB.
   */
  maximumResponseBytes: 2 * 1024 * 1024,
} as const;
