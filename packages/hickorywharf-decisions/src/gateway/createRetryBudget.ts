interface RepeatBudgetOptions {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Repeats that all instances together may make beyond the ratio. */
  readonly allowance: number;
}

interface RepeatBudget {
  recordRequest(service: string, now: number): void;
  /** Takes one repeat, if one is left. */
  tryRetry(service: string, now: number, instances: number): boolean;
}

interface Window {
  requests: number[];
  repeats: number[];
}

/** Kept back, so that instances that count differently stay below the limit. */
const RESERVE = 0.3;

function forget(times: number[], before: number): void {
  let gone = 0;
  while (gone < times.length && times[gone]! < before) gone += 1;
  if (gone > 0) times.splice(0, gone);
}

/**
 * Repeats that this instance may make at a service: a share of its own requests
 * in a sliding window, and its part of the allowance that all share. Answers
 * abusive repeats and failing endpoints, which would otherwise multiply load.
 *
 * @example
 *     const budget = createRetryBudget({ratio: 0.2, windowMilliseconds: 10000, allowance: 52});
 *     budget.tryRetry('desk', now, 3);
 */
export function createRetryBudget(options: RepeatBudgetOptions): RepeatBudget {
  const {ratio, windowMilliseconds, allowance} = options;
  const windows = new Map<string, Window>();

  function getWindow(service: string, now: number): Window {
    let window = windows.get(service);
    if (window === undefined) {
      window = {requests: [], repeats: []};
      windows.set(service, window);
    }
    forget(window.requests, now - windowMilliseconds);
    forget(window.repeats, now - windowMilliseconds);
    return window;
  }

  return {
    recordRequest: (service, now) =>
      void getWindow(service, now).requests.push(now),
    tryRetry(service, now, instances) {
      const {requests, repeats} = getWindow(service, now);
      const share = allowance / Math.max(instances, 1);
      const limit = (1 - RESERVE) * (ratio * requests.length + share);
      if (repeats.length + 1 > limit) return false;
      repeats.push(now);
      return true;
    },
  };
}
