interface EndpointHealth {
  /** Notes an answer that came, good or bad for the caller. */
  recordResponse(id: string, milliseconds: number): void;
  /** Notes a failure of the endpoint itself: no answer, or a false one. */
  recordFailure(id: string, now: number): void;
  /** Notes that work there took far too long. */
  recordTimeout(id: string, now: number): void;
  /** How long to leave the endpoint alone, as a cost in milliseconds. */
  getPenalty(id: string, now: number): number;
  /** Usual time of an answer, in milliseconds. */
  getResponseTime(id: string): number;
  forget(id: string): void;
}

interface HealthRow {
  answerMilliseconds: number;
  failures: number;
  /** Times in a row that work took far too long. */
  silences: number;
  failedAt: number;
}

const FIRST_GUESS_MILLISECONDS = 80;
/** Weight of a new answer time against what was known. */
const LEARNING_WEIGHT = 0.2;
/** Cost of one failure, doubled with each further one in a row. */
const FIRST_PENALTY_MILLISECONDS = 200;
/** A slow endpoint costs all the work that it is given. */
const SILENCE_PENALTY_MILLISECONDS = 1600;
const MAXIMUM_PENALTY_MILLISECONDS = 6400;

/**
 * What this instance has seen of each endpoint by calling it. A failure makes
 * an endpoint dear for a while that doubles with each further one; the cost
 * fades with time, so that one call goes there again and finds out.
 *
 * @example
 *     const health = createEndpointHealth();
 *     health.recordFailure('desk-1', now);
 *     health.getPenalty('desk-1', now); // 200
 */
export function createEndpointHealth(): EndpointHealth {
  const rows = new Map<string, HealthRow>();

  function getRow(id: string): HealthRow {
    let row = rows.get(id);
    if (row === undefined) {
      row = {
        answerMilliseconds: FIRST_GUESS_MILLISECONDS,
        failures: 0,
        silences: 0,
        failedAt: -Infinity,
      };
      rows.set(id, row);
    }
    return row;
  }

  return {
    recordResponse(id, milliseconds) {
      const row = getRow(id);
      row.answerMilliseconds +=
        LEARNING_WEIGHT * (milliseconds - row.answerMilliseconds);
      row.failures = 0;
      row.silences = 0;
    },
    recordFailure(id, now) {
      const row = getRow(id);
      row.failures += 1;
      row.failedAt = now;
    },
    recordTimeout(id, now) {
      const row = getRow(id);
      row.silences += 1;
      row.failedAt = now;
    },
    getPenalty(id, now) {
      const row = rows.get(id);
      if (row === undefined) return 0;
      const {failures, silences} = row;
      const forFailures =
        failures === 0 ? 0 : FIRST_PENALTY_MILLISECONDS * 2 ** (failures - 1);
      const forSilences =
        silences === 0 ? 0 : SILENCE_PENALTY_MILLISECONDS * 2 ** (silences - 1);
      const full = Math.min(
        Math.max(forFailures, forSilences),
        MAXIMUM_PENALTY_MILLISECONDS,
      );
      return Math.max(0, full - (now - row.failedAt));
    },
    getResponseTime: (id) =>
      rows.get(id)?.answerMilliseconds ?? FIRST_GUESS_MILLISECONDS,
    forget: (id) => void rows.delete(id),
  };
}
