interface TimeoutOptions {
  readonly milliseconds: number;
  readonly onTimeout: () => void;
}

/** A timer that is later than this shows that the event loop was blocked. */
const BLOCKED_MILLISECONDS = 50;
/** Time to read what arrived while the event loop was blocked. */
const GRACE_MILLISECONDS = 50;

/**
 * Starts a timeout for something that another process sends. Node runs timers
 * before it reads sockets, so that after a pause of this process a plain timer
 * would fire although what it waits for has arrived. This one then waits once
 * more, for a moment, and always lets the sockets be read before it fires.
 *
 * @returns a function that ends the timeout
 * @example
 *     const stop = startTimeout({milliseconds: 200, onTimeout: fail});
 *     stop();
 */
export function startTimeout(options: TimeoutOptions): () => void {
  const {milliseconds, onTimeout} = options;
  const dueAt = performance.now() + milliseconds;
  let immediate: NodeJS.Immediate | undefined;
  // Node runs immediates after it has read the sockets.
  const fire = (): void => {
    immediate = setImmediate(onTimeout);
  };
  let timer = setTimeout(() => {
    const isLate = performance.now() - dueAt > BLOCKED_MILLISECONDS;
    if (isLate) timer = setTimeout(fire, GRACE_MILLISECONDS);
    else fire();
  }, milliseconds);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
