import {hashNumber} from 'hickorywharf-utils/hashNumber';

/** The latest of the callers returns after this factor on the delay. */
const MAXIMUM_FACTOR = 1.5;
const HASH_RANGE = 2 ** 32;

/**
 * Spreads the times at which refused callers return, by the hash of the
 * request's id, so that those who are refused in one moment don't return in one
 * moment. None returns before the delay.
 *
 * Designed for a burst that is refused within milliseconds: without a spread it
 * would come again as a burst.
 *
 * @param milliseconds the shortest delay
 * @example
 *     spreadRetryDelay(800, '9c41'); // between 800 and 1200
 */
export function spreadRetryDelay(
  milliseconds: number,
  requestId: string,
): number {
  const share = hashNumber(requestId) / HASH_RANGE;
  return milliseconds * (1 + share * (MAXIMUM_FACTOR - 1));
}
