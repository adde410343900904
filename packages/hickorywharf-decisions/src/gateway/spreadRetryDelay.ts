import {hashNumber} from 'hickorywharf-utils/hashNumber';

/** The last of the callers returns after at most this factor on the delay. */
const MAXIMUM_FACTOR = 1.5;
/**
 * Share of the time left after the shortest delay by which the return may be
 * later, so that there is time left to serve the call.
 */
const TIME_SHARE = 0.3;
const HASH_RANGE = 2 ** 32;

/**
 * Spreads the times at which refused callers return, by the hash of the
 * request's id, so that those who are refused in one moment don't return in one
 * moment. None returns before the shortest delay, and none so late that the
 * call could not be served any more.
 *
 * Designed for a burst that is refused within milliseconds: without a spread it
 * would come again as a burst.
 *
 * @param milliseconds the shortest delay
 * @param timeLeftMilliseconds time left until the deadline of the call
 * @example
 *     spreadRetryDelay(800, 6000, '9c41'); // between 800 and 1200
 */
export function spreadRetryDelay(
  milliseconds: number,
  timeLeftMilliseconds: number,
  requestId: string,
): number {
  const longest = Math.min(
    milliseconds * (MAXIMUM_FACTOR - 1),
    Math.max(0, timeLeftMilliseconds - milliseconds) * TIME_SHARE,
  );
  return milliseconds + (longest * hashNumber(requestId)) / HASH_RANGE;
}
