import type {Clock} from './clock.ts';

const NANOSECONDS = 1_000_000;

/**
 * The clocks of the operating system. The monotonic one is the kernel's, which
 * all processes of an instance share.
 *
 * @example
 *     const clock = createSystemClock();
 *     clock.monotonic();
 */
export function createSystemClock(): Clock {
  return {
    monotonic: () => Number(process.hrtime.bigint()) / NANOSECONDS,
    wall: () => Date.now(),
  };
}
