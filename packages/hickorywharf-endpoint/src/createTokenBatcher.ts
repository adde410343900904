interface TokenBatcherOptions {
  readonly onTokens: (attemptId: string, tokens: readonly string[]) => void;
  /** Calls back once, after a batch's time. */
  readonly schedule: (flush: () => void) => void;
}

interface TokenBatcher {
  add(attemptId: string, tokens: readonly string[]): void;
  /** Hands on what is left of an attempt, before its ending is told. */
  end(attemptId: string): void;
}

/**
 * Gathers the tokens of running attempts, so that each frame, event and system
 * call carries a few of them. An attempt's first tokens never wait.
 *
 * @example
 *     const batcher = createTokenBatcher({onTokens, schedule});
 *     batcher.add('a-1', ['reel']);
 */
export function createTokenBatcher(options: TokenBatcherOptions): TokenBatcher {
  const {onTokens, schedule} = options;
  const pending = new Map<string, string[]>();
  let isScheduled = false;

  function flush(attemptId: string, tokens: string[]): void {
    if (tokens.length > 0) onTokens(attemptId, tokens.splice(0));
  }

  function flushAll(): void {
    isScheduled = false;
    for (const [attemptId, tokens] of pending) flush(attemptId, tokens);
  }

  return {
    add(attemptId, tokens) {
      const waiting = pending.get(attemptId);
      if (waiting === undefined) {
        pending.set(attemptId, []);
        onTokens(attemptId, tokens);
        return;
      }
      waiting.push(...tokens);
      if (isScheduled) return;
      isScheduled = true;
      schedule(flushAll);
    },
    end(attemptId) {
      flush(attemptId, pending.get(attemptId) ?? []);
      pending.delete(attemptId);
    },
  };
}
