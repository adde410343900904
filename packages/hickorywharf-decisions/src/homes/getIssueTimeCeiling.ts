import type {IssueTimeAnchor} from './issueTimeAnchor.ts';

/**
 * The issue time from which on a home runs no key yet. It only grows: a new
 * anchor never lies below the old one's projection.
 *
 * @param aheadMilliseconds how far callers' clocks may run ahead
 * @example
 *     getIssueTimeCeiling({issueTime: 1000, monotonic: 50}, 60, 5); // 1015
 */
export function getIssueTimeCeiling(
  anchor: IssueTimeAnchor,
  monotonicNow: number,
  aheadMilliseconds: number,
): number {
  const elapsed = Math.max(0, monotonicNow - anchor.monotonic);
  return Math.floor(anchor.issueTime + elapsed) + aheadMilliseconds;
}
