import type {Instant} from './instant.ts';

/**
 * Upper bound of the time between two instants, in milliseconds: the larger of
 * the differences on the two clocks. Only the wall clock advances while an
 * instance is suspended, and a wall clock that is set back must not make state
 * look newer than it is.
 *
 * @example
 *     getElapsed({monotonic: 0, wall: 0}, {monotonic: 5, wall: 2000}); // 2000
 */
export function getElapsed(from: Instant, to: Instant): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}
