/**
 * Calls that were sent a second apart may arrive this much closer to each
 * other: delays within a region vary by some milliseconds.
 */
const ARRIVAL_MARGIN_MILLISECONDS = 50;

/**
 * The span, in milliseconds, in which the calls to a cold endpoint are counted:
 * a second, or the time for one call if there is less than one a second.
 *
 * Designed for rates from one call in some seconds to some dozen a second.
 *
 * @example
 *     getColdWindow(16); // 1050
 */
export function getColdWindow(callsPerSecond: number): number {
  return 1000 / Math.min(1, callsPerSecond) + ARRIVAL_MARGIN_MILLISECONDS;
}
