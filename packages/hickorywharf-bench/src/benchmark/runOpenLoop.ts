import {createRandom} from 'hickorywharf-utils/createRandom';
import {sleep} from 'hickorywharf-utils/sleep';

interface OpenLoopOptions {
  readonly ratePerSecond: number;
  readonly milliseconds: number;
  readonly seed: number;
  /** Sends one request; called with its number, on the schedule. */
  readonly send: (number: number) => Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Sends requests at Poisson arrivals whether or not earlier ones are answered,
 * and resolves once all are.
 *
 * @example
 *     await runOpenLoop({ratePerSecond: 50, milliseconds: 1000, seed: 1, send});
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<void> {
  const {ratePerSecond, milliseconds, seed, send} = options;
  const random = createRandom(seed);
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  let due = 0;
  for (let number = 0; ; number += 1) {
    due += (-Math.log(1 - random()) * MILLISECONDS_PER_SECOND) / ratePerSecond;
    if (due >= milliseconds) break;
    const pause = startedAt + due - performance.now();
    if (pause > 0) await sleep(pause);
    pending.push(send(number));
  }
  await Promise.all(pending);
}
