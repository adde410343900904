interface RetryBudgetOptions {
  /** Retries for each request. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries that all instances together may send beyond the ratio. */
  readonly allowance: number;
}

interface RetryBudget {
  recordRequest(service: string, now: number): void;
  /** Consumes one retry; false if none is left. */
  tryRetry(service: string, now: number, instances: number): boolean;
}

/** Times of the requests and retries within the sliding window. */
interface Window {
  requests: number[];
  retries: number[];
}

/** Held back, so that instances whose counts differ stay below the limit. */
const RESERVE = 0.3;

function evictBefore(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && times[count]! < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/**
 * Limits the retries that this instance may send to a service: a share of its
 * own requests in a sliding window, plus its part of the allowance that all
 * instances share. Without the limit, failing endpoints and abusive retries
 * would multiply the load.
 *
 * @example
 *     const budget = createRetryBudget({
 *       ratio: 0.2,
 *       windowMilliseconds: 10_000,
 *       allowance: 52,
 *     });
 *     budget.tryRetry('desk', now, 3);
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const {ratio, windowMilliseconds, allowance} = options;
  const windows = new Map<string, Window>();

  function getWindow(service: string, now: number): Window {
    let window = windows.get(service);
    if (window === undefined) {
      window = {requests: [], retries: []};
      windows.set(service, window);
    }
    evictBefore(window.requests, now - windowMilliseconds);
    evictBefore(window.retries, now - windowMilliseconds);
    return window;
  }

  return {
    recordRequest: (service, now) =>
      void getWindow(service, now).requests.push(now),
    tryRetry(service, now, instances) {
      const {requests, retries} = getWindow(service, now);
      const share = allowance / Math.max(instances, 1);
      const limit = (1 - RESERVE) * (ratio * requests.length + share);
      if (retries.length + 1 > limit) return false;
      retries.push(now);
      return true;
    },
  };
}
