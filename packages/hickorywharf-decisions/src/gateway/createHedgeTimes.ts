/** Times are in milliseconds. */
interface HedgeTimes {
  /** Records the time from the send of a call to its whole response. */
  record(service: string, endpointId: string, milliseconds: number): void;
  /**
   * Time by which a usual endpoint of the service has answered nearly all calls;
   * undefined while too few calls were answered.
   */
  getDelay(service: string): number | undefined;
  /** Time in which a usual endpoint answers half of the calls; as above. */
  getUsual(service: string): number | undefined;
  /** Discards what was recorded of an endpoint. */
  remove(endpointId: string): void;
}

/** The most recent responses of an endpoint that are kept. */
const SAMPLES = 100;
/** Fewer say nothing of the slowest calls. */
const MINIMUM_SAMPLES = 20;
/** Responses after which the times of an endpoint are ranked anew. */
const RANKING_INTERVAL = 10;
/** Bounds the memory for endpoints that are gone. */
const MAXIMUM_ENDPOINTS = 2000;
const DELAY_SHARE = 0.95;
const USUAL_SHARE = 0.5;

interface Row {
  readonly service: string;
  readonly values: number[];
  /** The values in order, as they were ranked last. */
  sorted: readonly number[];
  unranked: number;
}

/** The value below which the given share of the values lies. */
function getAtShare(sorted: readonly number[], share: number): number {
  return sorted[Math.ceil(sorted.length * share) - 1]!;
}

const sort = (values: readonly number[]): readonly number[] =>
  values.toSorted((left, right) => left - right);

/**
 * Keeps how long each endpoint took for its recent calls. Of the endpoints of a
 * service, the middle one stands for the usual one: a slow endpoint, or a slow
 * half, does not hide itself in what counts as usual, and a service whose
 * endpoints are all slow has no usual fast one.
 *
 * Designed for one slow endpoint of several, and for bursts that slow down all.
 *
 * @example
 *     const times = createHedgeTimes();
 *     times.record('desk', 'desk-1', 80);
 *     times.getDelay('desk'); // undefined, after one call
 */
export function createHedgeTimes(): HedgeTimes {
  /** By endpoint, that with the oldest last response first. */
  const rows = new Map<string, Row>();

  function getMiddle(service: string, share: number): number | undefined {
    const ofEndpoints: number[] = [];
    for (const row of rows.values()) {
      if (row.service !== service || row.sorted.length < MINIMUM_SAMPLES) {
        continue;
      }
      ofEndpoints.push(getAtShare(row.sorted, share));
    }
    return ofEndpoints.length === 0
      ? undefined
      : getAtShare(sort(ofEndpoints), USUAL_SHARE);
  }

  return {
    record(service, endpointId, milliseconds) {
      const known = rows.get(endpointId);
      const row: Row =
        known?.service === service
          ? known
          : {service, values: [], sorted: [], unranked: 0};
      rows.delete(endpointId);
      rows.set(endpointId, row);
      row.values.push(milliseconds);
      if (row.values.length > SAMPLES) row.values.shift();
      row.unranked += 1;
      if (row.unranked >= RANKING_INTERVAL) {
        row.sorted = sort(row.values);
        row.unranked = 0;
      }
      if (rows.size > MAXIMUM_ENDPOINTS) {
        rows.delete(rows.keys().next().value!);
      }
    },
    getDelay: (service) => getMiddle(service, DELAY_SHARE),
    getUsual: (service) => getMiddle(service, USUAL_SHARE),
    remove: (endpointId) => void rows.delete(endpointId),
  };
}
