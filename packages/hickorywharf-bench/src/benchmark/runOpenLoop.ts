import {createRandom} from 'hickorywharf-utils/createRandom';
import {sleep} from 'hickorywharf-utils/sleep';

interface OpenLoopOptions {
  readonly ratePerSecond: number;
  readonly milliseconds: number;
  readonly seed: number;
  /** Sends a request; called with its number at its scheduled time. */
  readonly send: (number: number) => Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Sends requests with Poisson arrivals without waiting for earlier ones, and
 * resolves once all have completed. Rejects if one of them does.
 *
 * @example
 *     await runOpenLoop({ratePerSecond: 50, milliseconds: 1000, seed: 1, send});
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<void> {
  const {ratePerSecond, milliseconds, seed, send} = options;
  const random = createRandom(seed);
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  let scheduledAt = 0;
  for (let number = 0; ; number += 1) {
    scheduledAt +=
      (-Math.log(1 - random()) * MILLISECONDS_PER_SECOND) / ratePerSecond;
    if (scheduledAt >= milliseconds) break;
    const delay = startedAt + scheduledAt - performance.now();
    if (delay > 0) await sleep(delay);
    pending.push(send(number));
  }
  await Promise.all(pending);
}
