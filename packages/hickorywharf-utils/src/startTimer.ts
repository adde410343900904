interface TimerOptions {
  readonly onTick: () => void;
  /** Milliseconds until the next tick, called before each one is scheduled. */
  readonly getPause: () => number;
}

interface Timer {
  /** Schedules the next tick anew, for work that came up since the last one. */
  reschedule(): void;
  stop(): void;
}

/**
 * Starts a timer that calls `onTick` repeatedly. The delay may differ each
 * time, so that an idle process wakes up rarely.
 *
 * @example
 *     const timer = startTimer({onTick, getPause: () => 50});
 *     timer.stop();
 */
export function startTimer(options: TimerOptions): Timer {
  const {onTick, getPause} = options;
  let timer: NodeJS.Timeout;

  function schedule(): void {
    timer = setTimeout(() => {
      schedule();
      onTick();
    }, getPause());
  }

  schedule();
  return {
    reschedule() {
      clearTimeout(timer);
      schedule();
    },
    stop: () => clearTimeout(timer),
  };
}
