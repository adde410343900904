interface ResponseTimes {
  /** Records the time from the send of a call to the end of its response. */
  record(route: string, milliseconds: number): void;
  /** Time within which most responses of a route end; undefined if unknown. */
  getUsual(route: string): number | undefined;
  /** The longest recent time of a route; undefined if unknown. */
  getLongest(route: string): number | undefined;
}

/** The most recent responses of a route that are kept. */
const SAMPLES = 64;
/** Bounds the memory for routes that left the configuration. */
const MAXIMUM_ROUTES = 1000;
const USUAL_SHARE = 0.9;

/**
 * Keeps how long the recent responses of each route took.
 *
 * @example
 *     const times = createResponseTimes();
 *     times.record('reports', 850);
 *     times.getLongest('reports'); // 850
 */
export function createResponseTimes(): ResponseTimes {
  const samples = new Map<string, number[]>();

  function getAtShare(route: string, share: number): number | undefined {
    const sorted = samples.get(route)?.toSorted((left, right) => left - right);
    return sorted?.[Math.ceil(sorted.length * share) - 1];
  }

  return {
    record(route, milliseconds) {
      const list = samples.get(route) ?? [];
      // The route that was used least recently comes first.
      samples.delete(route);
      samples.set(route, list);
      list.push(milliseconds);
      if (list.length > SAMPLES) list.shift();
      if (samples.size > MAXIMUM_ROUTES) {
        samples.delete(samples.keys().next().value!);
      }
    },
    getUsual: (route) => getAtShare(route, USUAL_SHARE),
    getLongest: (route) => getAtShare(route, 1),
  };
}
