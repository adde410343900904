interface LatenessMonitor {
  /** The longest time in milliseconds by which the event loop was late lately. */
  get(): number;
  stop(): void;
}

const CHECK_INTERVAL_MILLISECONDS = 200;
/** How many checks a measured lateness is remembered for. */
const KEPT_CHECKS = 50;

/**
 * Measures how late the event loop of this process runs its timers, as it is
 * blocked or gets no processor time.
 *
 * @example
 *     const lateness = createLatenessMonitor();
 *     lateness.get(); // 3
 */
export function createLatenessMonitor(): LatenessMonitor {
  const measured: number[] = [];
  let dueAt = performance.now() + CHECK_INTERVAL_MILLISECONDS;
  const getCurrent = (): number => Math.max(0, performance.now() - dueAt);
  const timer = setInterval(() => {
    measured.push(getCurrent());
    if (measured.length > KEPT_CHECKS) measured.shift();
    dueAt = performance.now() + CHECK_INTERVAL_MILLISECONDS;
  }, CHECK_INTERVAL_MILLISECONDS);
  timer.unref();

  return {
    get: () => Math.max(getCurrent(), ...measured),
    stop: () => clearInterval(timer),
  };
}
