import type {Instant} from './instant.ts';

/**
 * The longest time that may have passed since an earlier moment, in
 * milliseconds. A suspended instance shows only on the wall clock, and a wall
 * clock that steps back must not make anything younger: the larger one counts.
 *
 * @example
 *     getElapsed({monotonic: 0, wall: 0}, {monotonic: 5, wall: 2000}); // 2000
 */
export function getElapsed(from: Instant, to: Instant): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}
