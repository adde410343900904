interface RateLimit {
  /** Admits a call, or returns false if it is over the rate; 0 is unlimited. */
  acquire(perSecond: number): boolean;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Creates a leaky-bucket limit on calls per second that allows bursts of one
 * second's worth of calls.
 *
 * @param now monotonic milliseconds
 * @example
 *     createRateLimit(() => performance.now()).acquire(400);
 */
export function createRateLimit(now: () => number): RateLimit {
  let level = 0;
  let updatedAt = now();
  return {
    acquire(perSecond) {
      if (perSecond <= 0) return true;
      const elapsed = now() - updatedAt;
      updatedAt += elapsed;
      level -= (elapsed * perSecond) / MILLISECONDS_PER_SECOND;
      level = Math.max(0, level);
      if (level + 1 > perSecond) return false;
      level += 1;
      return true;
    },
  };
}
