const FACTOR = 2;
const MARGIN_MILLISECONDS = 250;

/**
 * Whether a wait has lasted for so much longer than its forecast that the
 * forecast does not hold.
 *
 * @example
 *     isWaitOverdue(1200, 400); // true
 */
export function isWaitOverdue(
  waitedMilliseconds: number,
  expectedMilliseconds: number,
): boolean {
  return (
    waitedMilliseconds > expectedMilliseconds * FACTOR + MARGIN_MILLISECONDS
  );
}
