/**
 * Pairs an issue time with a reading of the kernel's monotonic clock. A
 * successor on the same kernel derives from it the highest issue time that its
 * predecessor can have run.
 */
export interface IssueTimeAnchor {
  /** In milliseconds since the Unix epoch. */
  readonly issueTime: number;
  /** Monotonic clock at the same moment, in milliseconds. */
  readonly monotonic: number;
}
