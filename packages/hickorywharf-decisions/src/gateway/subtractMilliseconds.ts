import type {Instant} from './instant.ts';

/**
 * The instant so many milliseconds earlier, on both clocks.
 *
 * @example
 *     subtractMilliseconds({monotonic: 500, wall: 900}, 400).wall; // 500
 */
export function subtractMilliseconds(
  {monotonic, wall}: Instant,
  milliseconds: number,
): Instant {
  return {monotonic: monotonic - milliseconds, wall: wall - milliseconds};
}
