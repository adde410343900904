import type {IssueTimeAnchor} from './issueTimeAnchor.ts';

/**
 * Returns the exclusive upper bound of the issue times that a home runs at a
 * point of its monotonic clock, in milliseconds since the Unix epoch. The bound
 * of an interval never decreases: a new anchor is never below the value that
 * the previous anchor has reached.
 *
 * @param monotonicNow monotonic clock of the kernel, in milliseconds
 * @param maximumSkewMilliseconds how far callers' clocks may run ahead
 * @example
 *     getIssueTimeCeiling({issueTime: 1000, monotonic: 50}, 60, 5); // 1015
 */
export function getIssueTimeCeiling(
  anchor: IssueTimeAnchor,
  monotonicNow: number,
  maximumSkewMilliseconds: number,
): number {
  const elapsed = Math.max(0, monotonicNow - anchor.monotonic);
  return Math.floor(anchor.issueTime + elapsed) + maximumSkewMilliseconds;
}
