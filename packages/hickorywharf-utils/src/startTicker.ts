interface TickerOptions {
  readonly onTick: () => void;
  /** Milliseconds until the next tick, asked after each one. */
  readonly getPause: () => number;
}

interface Ticker {
  /** Asks for the pause anew: there is work since the last tick. */
  wake(): void;
  stop(): void;
}

/**
 * Ticks with a pause that may differ each time, so that an idle process wakes
 * seldom.
 *
 * @example
 *     const ticker = startTicker({onTick, getPause: () => 50});
 *     ticker.stop();
 */
export function startTicker(options: TickerOptions): Ticker {
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
    wake() {
      clearTimeout(timer);
      schedule();
    },
    stop: () => clearTimeout(timer),
  };
}
