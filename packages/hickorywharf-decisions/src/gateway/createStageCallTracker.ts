import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';

interface StageCallTracker {
  /**
   * Records the start of a call; returns the function that records its end.
   *
   * @param milliseconds the expected time of the call
   */
  startCall(id: string, milliseconds: number, now: number): () => void;
  /** Moving average of measured to expected time of the endpoint's calls. */
  getSlowness(id: string): number;
  /** Records the ratio of measured to expected time of one call. */
  recordSlowness(id: string, slowness: number): void;
  /** Records that the endpoint is out of memory; it gets no call until then. */
  markFull(id: string, until: number): void;
  /** Records that a result at the endpoint was released. */
  clearFull(id: string): void;
  isFree(id: string, slots: number, now: number): boolean;
  /** Expected time until a slot of the endpoint is free, in milliseconds. */
  getWait(id: string, slots: number, now: number): number;
  /**
   * Milliseconds until the first endpoint is free, for each failure domain
   * other than the given one.
   */
  getOtherDomainWaits(
    endpoints: readonly GatewayEndpoint[],
    failureDomain: string,
    slots: number,
    now: number,
  ): Map<string, number>;
  remove(id: string): void;
}

/** What this instance has observed of the calls to one endpoint. */
interface EndpointCalls {
  /** When each call in progress is expected to end. */
  readonly calls: Set<{readonly doneAt: number}>;
  fullUntil: number;
  slowness: number;
}

/** Endpoints of a service differ in speed by less than this factor. */
const MAXIMUM_SLOWNESS = 2;
/** Weight of one call in the moving average of its endpoint's slowness. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Tracks the stage calls in progress at each endpoint, and when the endpoint is
 * expected to be free again.
 *
 * @example
 *     const tracker = createStageCallTracker();
 *     const end = tracker.begin('scan-1', 250, now);
 *     tracker.isFree('scan-1', 1, now); // false
 */
export function createStageCallTracker(): StageCallTracker {
  const byEndpoint = new Map<string, EndpointCalls>();

  function get(id: string): EndpointCalls {
    let tracked = byEndpoint.get(id);
    if (tracked === undefined) {
      tracked = {calls: new Set(), fullUntil: -Infinity, slowness: 1};
      byEndpoint.set(id, tracked);
    }
    return tracked;
  }

  function getWait(id: string, slots: number, now: number): number {
    const {calls} = get(id);
    if (calls.size < slots) return 0;
    const ends = [...calls].map(({doneAt}) => doneAt - now);
    return Math.max(0, Math.min(...ends));
  }

  return {
    startCall(id, milliseconds, now) {
      const {calls} = get(id);
      const call = {doneAt: now + milliseconds};
      calls.add(call);
      return () => void calls.delete(call);
    },
    getSlowness: (id) => get(id).slowness,
    recordSlowness(id, slowness) {
      const tracked = get(id);
      const bounded = Math.min(slowness, MAXIMUM_SLOWNESS);
      tracked.slowness += SMOOTHING_FACTOR * (bounded - tracked.slowness);
    },
    markFull: (id, until) => void (get(id).fullUntil = until),
    clearFull: (id) => void (get(id).fullUntil = -Infinity),
    isFree(id, slots, now) {
      const {calls, fullUntil} = get(id);
      return calls.size < slots && fullUntil <= now;
    },
    getWait,
    getOtherDomainWaits(endpoints, failureDomain, slots, now) {
      const waits = new Map<string, number>();
      for (const endpoint of endpoints) {
        const domain = endpoint.failureDomain;
        if (domain === failureDomain) continue;
        const {fullUntil} = get(endpoint.id);
        const wait = Math.max(
          getWait(endpoint.id, slots, now),
          fullUntil - now,
        );
        waits.set(domain, Math.min(waits.get(domain) ?? Infinity, wait));
      }
      return waits;
    },
    remove: (id) => void byEndpoint.delete(id),
  };
}
