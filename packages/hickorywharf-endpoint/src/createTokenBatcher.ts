interface TokenBatcherOptions {
  /** Receives the tokens of an attempt, in order. */
  readonly onTokens: (attemptId: string, tokens: readonly string[]) => void;
  /** Must call `flush` once, after the longest time that a token may wait. */
  readonly schedule: (flush: () => void) => void;
}

interface TokenBatcher {
  add(attemptId: string, tokens: readonly string[]): void;
  /** Flushes an attempt's remaining tokens; call it before its ending. */
  end(attemptId: string): void;
}

/**
 * Batches the tokens of running attempts, so that each frame, event and system
 * call carries several. An attempt's first tokens are passed on at once, and
 * the order within an attempt is kept.
 *
 * @example
 *     const batcher = createTokenBatcher({onTokens, schedule});
 *     batcher.add('a-1', ['reel']); // onTokens('a-1', ['reel'])
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
