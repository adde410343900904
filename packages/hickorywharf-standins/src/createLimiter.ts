interface Limiter {
  /** Resolves once there is a place. */
  enter(): Promise<void>;
  leave(): void;
}

/**
 * Lets a number of tasks run at once; others wait in order of arrival.
 *
 * @example
 *     await limiter.enter();
 */
export function createLimiter(capacity: number): Limiter {
  const waiting: (() => void)[] = [];
  let running = 0;
  return {
    async enter() {
      if (running < capacity) {
        running += 1;
        return;
      }
      await new Promise<void>((resolve) => waiting.push(resolve));
    },
    leave() {
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    },
  };
}
