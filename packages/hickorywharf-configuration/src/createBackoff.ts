import {sleep} from 'hickorywharf-utils/sleep';

interface Backoff {
  /** Waits, each time about twice as long as before, up to a maximum. */
  wait(): Promise<void>;
  /** Returns to the shortest wait, after a success. */
  reset(): void;
}

const MINIMUM_WAIT_MILLISECONDS = 200;
/** Also bounds the calls on a recovering store: one a process in this time. */
const MAXIMUM_WAIT_MILLISECONDS = 5000;

/**
 * Creates an exponential backoff with jitter for retries.
 *
 * @param options.random numbers in [0, 1)
 * @example
 *     await createBackoff({random}).wait();
 */
export function createBackoff(options: {
  readonly random: () => number;
}): Backoff {
  let milliseconds = MINIMUM_WAIT_MILLISECONDS;
  return {
    async wait() {
      await sleep(milliseconds * (0.5 + options.random()));
      milliseconds = Math.min(milliseconds * 2, MAXIMUM_WAIT_MILLISECONDS);
    },
    reset() {
      milliseconds = MINIMUM_WAIT_MILLISECONDS;
    },
  };
}
