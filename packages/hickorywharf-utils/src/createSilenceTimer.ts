import {startTimeout} from './startTimeout.ts';

interface SilenceTimer {
  /** Starts the time anew, or for the first time. */
  restart(milliseconds: number): void;
  /** Ends the time; `restart` may start it again. */
  stop(): void;
}

/**
 * Creates a timer for the silence of another process that is restarted with
 * each of its messages. Restarting it only notes the time: there is one timeout
 * at a time, which starts the next one for what is left. As with `startTimeout`,
 * what arrived while the event loop was blocked is read before it fires.
 *
 * @param onSilence called once for each silence that has lasted its time
 * @example
 *     const timer = createSilenceTimer(() => socket.destroy());
 *     timer.restart(800);
 */
export function createSilenceTimer(onSilence: () => void): SilenceTimer {
  /** Monotonic milliseconds; Infinity while stopped. */
  let dueAt = Infinity;
  /** When the timeout that runs ends; Infinity if none runs. */
  let firesAt = Infinity;
  let stopTimeout: (() => void) | null = null;

  function clear(): void {
    stopTimeout?.();
    stopTimeout = null;
    firesAt = Infinity;
  }

  function wait(now: number): void {
    firesAt = dueAt;
    stopTimeout = startTimeout({
      milliseconds: Math.max(0, dueAt - now),
      onTimeout: handleTimeout,
    });
  }

  function handleTimeout(): void {
    clear();
    const now = performance.now();
    if (dueAt > now) {
      wait(now);
      return;
    }
    dueAt = Infinity;
    onSilence();
  }

  return {
    restart(milliseconds) {
      const now = performance.now();
      dueAt = now + milliseconds;
      // A timeout that ends before finds out that there is time left.
      if (firesAt <= dueAt) return;
      clear();
      wait(now);
    },
    stop() {
      dueAt = Infinity;
      clear();
    },
  };
}
