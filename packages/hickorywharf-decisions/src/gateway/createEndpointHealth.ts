/** Every `now` is in monotonic milliseconds. */
interface EndpointHealth {
  /**
   * Records a valid response, whether it is a success for the caller or not,
   * and resets the penalty.
   */
  recordResponse(id: string, milliseconds: number): void;
  /**
   * Records that the endpoint had not answered after a time, when the answer was
   * no longer needed. It counts if it is longer than the average.
   */
  recordSlow(id: string, milliseconds: number): void;
  /** Records a failure of the endpoint: no response, or an invalid one. */
  recordFailure(id: string, now: number): void;
  /** Records a failure of the endpoint: it is silent, and may go on. */
  recordSilence(id: string, now: number): void;
  /** Records that the endpoint goes on with a response, which ends silence. */
  recordProgress(id: string): void;
  /** Whether no response has gone on since silence was recorded. */
  isSilent(id: string): boolean;
  /** Records that work at the endpoint took far longer than expected. */
  recordTimeout(id: string, now: number): void;
  /**
   * Milliseconds that failures and timeouts add to the cost of choosing the
   * endpoint.
   */
  getPenalty(id: string, now: number): number;
  /** Moving average of the response time, in milliseconds. */
  getResponseTime(id: string): number;
  /** Discards what was recorded of the endpoint. */
  remove(id: string): void;
}

interface HealthRow {
  responseMilliseconds: number;
  /** Failures since the last valid response. */
  failures: number;
  isSilent: boolean;
  /** Timeouts since the last valid response. */
  timeouts: number;
  /** Time of the last failure or timeout; -Infinity before the first. */
  failedAt: number;
}

/** Start value of the moving average of the response time. */
const INITIAL_RESPONSE_MILLISECONDS = 80;
/** Weight of a new response time in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** Penalty of one failure; doubles with each further failure in a row. */
const FIRST_PENALTY_MILLISECONDS = 200;
/**
 * Penalty of one timeout; doubles with each further timeout in a row. It is
 * higher than for a failure, because a slow endpoint delays all its work.
 */
const TIMEOUT_PENALTY_MILLISECONDS = 1600;
/**
 * Also the longest time from the last failure or timeout until the penalty is
 * 0, as it falls by one millisecond each millisecond.
 */
const MAXIMUM_PENALTY_MILLISECONDS = 6400;

/**
 * Tracks what this instance has observed of each endpoint by calling it. Each
 * further failure in a row doubles the endpoint's penalty, and so does each
 * further timeout; the larger of the two penalties counts, up to a maximum. It
 * falls by one millisecond each millisecond, so that the endpoint gets a call
 * again, which shows whether it still fails.
 *
 * @example
 *     const health = createEndpointHealth();
 *     health.recordFailure('desk-1', now);
 *     health.getPenalty('desk-1', now); // 200
 */
export function createEndpointHealth(): EndpointHealth {
  const rows = new Map<string, HealthRow>();

  function getOrCreateRow(id: string): HealthRow {
    let row = rows.get(id);
    if (row === undefined) {
      row = {
        responseMilliseconds: INITIAL_RESPONSE_MILLISECONDS,
        failures: 0,
        isSilent: false,
        timeouts: 0,
        failedAt: -Infinity,
      };
      rows.set(id, row);
    }
    return row;
  }

  return {
    recordResponse(id, milliseconds) {
      const row = getOrCreateRow(id);
      row.responseMilliseconds +=
        SMOOTHING_FACTOR * (milliseconds - row.responseMilliseconds);
      row.failures = 0;
      row.isSilent = false;
      row.timeouts = 0;
    },
    recordSlow(id, milliseconds) {
      const row = getOrCreateRow(id);
      row.responseMilliseconds +=
        SMOOTHING_FACTOR * Math.max(0, milliseconds - row.responseMilliseconds);
    },
    recordFailure(id, now) {
      const row = getOrCreateRow(id);
      row.failures += 1;
      row.failedAt = now;
    },
    recordSilence(id, now) {
      const row = getOrCreateRow(id);
      row.isSilent = true;
      row.failures += 1;
      row.failedAt = now;
    },
    recordProgress(id) {
      const row = rows.get(id);
      if (row !== undefined) row.isSilent = false;
    },
    isSilent: (id) => rows.get(id)?.isSilent ?? false,
    recordTimeout(id, now) {
      const row = getOrCreateRow(id);
      row.timeouts += 1;
      row.failedAt = now;
    },
    getPenalty(id, now) {
      const row = rows.get(id);
      if (row === undefined) return 0;
      const {failures, timeouts} = row;
      const forFailures =
        failures === 0 ? 0 : FIRST_PENALTY_MILLISECONDS * 2 ** (failures - 1);
      const forTimeouts =
        timeouts === 0 ? 0 : TIMEOUT_PENALTY_MILLISECONDS * 2 ** (timeouts - 1);
      const full = Math.min(
        Math.max(forFailures, forTimeouts),
        MAXIMUM_PENALTY_MILLISECONDS,
      );
      return Math.max(0, full - (now - row.failedAt));
    },
    getResponseTime: (id) =>
      rows.get(id)?.responseMilliseconds ?? INITIAL_RESPONSE_MILLISECONDS,
    remove: (id) => void rows.delete(id),
  };
}
