import type {Clock} from './clock.ts';

/**
 * The clocks of the operating system.
 *
 * @example
 *     const clock = createSystemClock();
 *     clock.monotonic();
 */
export function createSystemClock(): Clock {
  return {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
  };
}
