interface RateLimit {
  /** Takes one call; false where it is over the rate. */
  take(perSecond: number): boolean;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * A limit on calls a second, with a second's worth of burst.
 *
 * @param now monotonic milliseconds
 * @example
 *     createRateLimit(() => performance.now()).take(400);
 */
export function createRateLimit(now: () => number): RateLimit {
  let used = 0;
  let usedAt = now();
  return {
    take(perSecond) {
      if (perSecond <= 0) return true;
      const elapsed = now() - usedAt;
      usedAt += elapsed;
      used -= (elapsed * perSecond) / MILLISECONDS_PER_SECOND;
      used = Math.max(0, used);
      if (used + 1 > perSecond) return false;
      used += 1;
      return true;
    },
  };
}
