/**
 * Ties the issue times that a home runs to a monotonic clock. The clock is the
 * one of the home's kernel, so that a successor on the same kernel can tell how
 * far its predecessor can have come.
 */
export interface IssueTimeAnchor {
  /** Milliseconds of issue time. */
  readonly issueTime: number;
  /** The monotonic clock when the issue time was read, in milliseconds. */
  readonly monotonic: number;
}
