import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

interface Freshness {
  /** Notes a read of the store that succeeded, by when it was sent. */
  recordRead(sentAt: Instant): void;
  /** Whether a read that was sent then tells more than what is known. */
  isNewer(sentAt: Instant): boolean;
  /** How old what is known may be, in milliseconds; infinite before a read. */
  getAge(now: Instant): number;
}

/**
 * How long ago the store last confirmed what this instance believes. It counts
 * from the sending of the read, since the answer may show any moment after it.
 *
 * @example
 *     const freshness = createFreshness();
 *     freshness.confirm(sentAt);
 *     freshness.getAge(now) < 4500;
 */
export function createFreshness(): Freshness {
  let confirmed: Instant | null = null;
  const isNewer = (sentAt: Instant): boolean =>
    confirmed === null || sentAt.monotonic > confirmed.monotonic;
  return {
    isNewer,
    recordRead(sentAt) {
      if (isNewer(sentAt)) confirmed = sentAt;
    },
    getAge: (now) =>
      confirmed === null ? Infinity : getElapsed(confirmed, now),
  };
}
