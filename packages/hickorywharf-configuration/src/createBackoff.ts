import {sleep} from 'hickorywharf-utils/sleep';

interface Pause {
  /** Waits, each time about twice as long as before, up to a bound. */
  wait(): Promise<void>;
  /** Goes back to the shortest wait, after a success. */
  reset(): void;
}

const MINIMUM_MILLISECONDS = 200;
/** Bounds the calls on a store that returns: one in this time from each. */
const MAXIMUM_MILLISECONDS = 5000;

/**
 * Jittered, growing pauses between tries of something that fails.
 *
 * @example
 *     await createBackoff({random}).wait();
 */
export function createBackoff(options: {readonly random: () => number}): Pause {
  let milliseconds = MINIMUM_MILLISECONDS;
  return {
    async wait() {
      await sleep(milliseconds * (0.5 + options.random()));
      milliseconds = Math.min(milliseconds * 2, MAXIMUM_MILLISECONDS);
    },
    reset() {
      milliseconds = MINIMUM_MILLISECONDS;
    },
  };
}
