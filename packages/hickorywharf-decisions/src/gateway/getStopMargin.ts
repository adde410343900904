/** Calls are ended this long before the grace period ends, or more. */
const MARGIN_MILLISECONDS = 250;
/**
 * The process may be this many times as late as it was: when it handles the
 * signal, from which the grace period is counted, and when it ends the calls.
 */
const LATE_TIMES = 2;
const MAXIMUM_MARGIN_SHARE = 0.3;

/**
 * How long before the end of its grace period an instance ends its calls, in
 * milliseconds.
 *
 * @param latenessMilliseconds how late its event loop was at most
 * @example
 *     getStopMargin(8000, 100); // 450
 */
export function getStopMargin(
  graceMilliseconds: number,
  latenessMilliseconds: number,
): number {
  const longest = graceMilliseconds * MAXIMUM_MARGIN_SHARE;
  return Math.min(
    MARGIN_MILLISECONDS + LATE_TIMES * latenessMilliseconds,
    Math.max(MARGIN_MILLISECONDS, longest),
  );
}
