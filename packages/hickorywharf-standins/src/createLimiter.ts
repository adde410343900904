interface Limiter {
  /** Resolves once a slot is free, and takes it. */
  acquire(): Promise<void>;
  /** Frees a slot, which goes to the task that has waited longest. */
  release(): void;
}

/**
 * Limits the number of tasks that run concurrently; others wait in order of
 * arrival.
 *
 * @example
 *     const limiter = createLimiter(4);
 *     await limiter.acquire();
 */
export function createLimiter(capacity: number): Limiter {
  const waiting: (() => void)[] = [];
  let running = 0;
  return {
    async acquire() {
      if (running < capacity) {
        running += 1;
        return;
      }
      await new Promise<void>((resolve) => waiting.push(resolve));
    },
    release() {
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    },
  };
}
