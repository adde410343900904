/** Read at each use, as the settings may change. */
interface RetryBudgetOptions {
  /** Retries allowed for each request to the service. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /**
   * Retries in a window that all instances together may send beyond the ratio.
   */
  readonly allowance: number;
}

/** Every `now` is in monotonic milliseconds. */
interface RetryBudget {
  /** Counts a request, which raises the limit while it is in the window. */
  recordRequest(service: string, now: number): void;
  /** Whether `tryRetry` would allow so many retries now; one by default. */
  mayRetry(
    service: string,
    now: number,
    instances: number,
    count?: number,
  ): boolean;
  /**
   * Counts a retry if the budget allows it; returns false otherwise.
   *
   * @param instances number of instances that share the allowance
   */
  tryRetry(service: string, now: number, instances: number): boolean;
  /** The requests and retries in the window, and the retries' limit now. */
  getUse(
    service: string,
    now: number,
    instances: number,
  ): {
    readonly requests: number;
    readonly used: number;
    readonly limit: number;
  };
  /** Gives back a retry that was counted at a time, and not sent since. */
  returnRetry(service: string, countedAt: number, now: number): void;
}

/** Times of the requests and retries within the sliding window. */
interface Window {
  requests: number[];
  retries: number[];
}

/**
 * Share of the limit that is not used, so that all instances together stay
 * below the limit although their counts differ.
 */
const RESERVED_SHARE = 0.3;

function evictBefore(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && times[count]! < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/**
 * Limits the retries that this instance may send to a service to a share of its
 * requests in a sliding window, plus an equal part of the allowance that all
 * instances share, both less a reserve. Without the limit, failing endpoints
 * and abusive retries would multiply the load.
 *
 * @example
 *     const budget = createRetryBudget({
 *       ratio: 0.2,
 *       windowMilliseconds: 10_000,
 *       allowance: 52,
 *     });
 *     budget.tryRetry('desk', now, 3); // true
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const windows = new Map<string, Window>();

  function getOrCreateWindow(service: string, now: number): Window {
    let window = windows.get(service);
    if (window === undefined) {
      window = {requests: [], retries: []};
      windows.set(service, window);
    }
    const since = now - options.windowMilliseconds;
    evictBefore(window.requests, since);
    evictBefore(window.retries, since);
    return window;
  }

  function getUse(service: string, now: number, instances: number) {
    const {ratio, allowance} = options;
    const {requests, retries} = getOrCreateWindow(service, now);
    const share = allowance / Math.max(instances, 1);
    const limit = (1 - RESERVED_SHARE) * (ratio * requests.length + share);
    return {requests: requests.length, used: retries.length, limit};
  }

  function mayRetry(
    service: string,
    now: number,
    instances: number,
    count = 1,
  ): boolean {
    const {used, limit} = getUse(service, now, instances);
    return used + count <= limit;
  }

  return {
    recordRequest: (service, now) =>
      void getOrCreateWindow(service, now).requests.push(now),
    mayRetry,
    getUse,
    tryRetry(service, now, instances) {
      if (!mayRetry(service, now, instances)) return false;
      getOrCreateWindow(service, now).retries.push(now);
      return true;
    },
    returnRetry(service, countedAt, now) {
      if (countedAt < now - options.windowMilliseconds) return;
      // Without the oldest, no window counts fewer retries than were sent in it.
      getOrCreateWindow(service, now).retries.shift();
    },
  };
}
