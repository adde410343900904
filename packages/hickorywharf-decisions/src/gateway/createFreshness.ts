import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

interface Freshness {
  /**
   * Records a successful read of the store by the time it was sent. A read that
   * was not sent after the newest recorded one has no effect.
   */
  recordRead(sentAt: Instant): void;
  /** Whether a read was sent after all recorded ones; true before the first. */
  isNewer(sentAt: Instant): boolean;
  /** Upper bound of the state's age in milliseconds; Infinity before a read. */
  getAge(now: Instant): number;
}

/**
 * Tracks how long ago the store last confirmed a part of the state that this
 * instance holds. Ages count from the sending of the read, since the response
 * may show the store at any moment after it.
 *
 * @example
 *     const freshness = createFreshness();
 *     freshness.recordRead(sentAt);
 *     freshness.getAge(now); // 300
 */
export function createFreshness(): Freshness {
  let confirmedAt: Instant | null = null;
  const isNewer = (sentAt: Instant): boolean =>
    confirmedAt === null || sentAt.monotonic > confirmedAt.monotonic;
  return {
    isNewer,
    recordRead(sentAt) {
      if (isNewer(sentAt)) confirmedAt = sentAt;
    },
    getAge: (now) =>
      confirmedAt === null ? Infinity : getElapsed(confirmedAt, now),
  };
}
