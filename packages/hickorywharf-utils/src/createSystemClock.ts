import type {Clock} from './clock.ts';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/**
 * Creates the clocks of the operating system. The monotonic one is that of the
 * kernel, which all processes of an instance share.
 *
 * @example
 *     const clock = createSystemClock();
 *     clock.monotonic();
 */
export function createSystemClock(): Clock {
  return {
    monotonic: () =>
      Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND,
    wall: () => Date.now(),
  };
}
