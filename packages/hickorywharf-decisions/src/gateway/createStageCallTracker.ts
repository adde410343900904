import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';

/**
 * Every `id` is that of an endpoint, `slots` is the number of calls that an
 * endpoint runs in parallel, and times are in monotonic milliseconds.
 */
interface StageCallTracker {
  /**
   * Records the start of a call; returns the function that records its end.
   *
   * @param milliseconds the expected time of the call, with the endpoint's
   *     slowness included
   */
  startCall(id: string, milliseconds: number, now: number): () => void;
  /**
   * Moving average of the ratio of the measured time of a call to the time that
   * follows from the configured capacity. It starts at 1 and is at most 2.
   */
  getSlowness(id: string): number;
  /** Updates the average with the ratio of one call. */
  recordSlowness(id: string, ratio: number): void;
  /** Records that the endpoint is out of memory and not free before `until`. */
  markFull(id: string, until: number): void;
  /** Ends the effect of `markFull`, when a result was released. */
  clearFull(id: string): void;
  /** Whether the endpoint has a free slot and is not marked full. */
  isFree(id: string, slots: number, now: number): boolean;
  /**
   * Expected milliseconds until the endpoint has a free slot, whether it is
   * marked full or not; 0 also while a call takes longer than expected.
   */
  getWait(id: string, slots: number, now: number): number;
  /**
   * As `getWait`, but a call that takes longer than expected is expected to
   * take as long again as it is late by now.
   */
  estimateWait(id: string, slots: number, now: number): number;
  /**
   * Expected milliseconds until the first endpoint of each failure domain other
   * than the given one is free. An endpoint is not free while it is marked
   * full.
   */
  getOtherDomainWaits(
    endpoints: readonly GatewayEndpoint[],
    failureDomain: string,
    slots: number,
    now: number,
  ): Map<string, number>;
  /** Removes the endpoint with its calls in progress and its slowness. */
  remove(id: string): void;
}

/** What this instance has observed of the calls to one endpoint. */
interface EndpointCalls {
  /** The calls in progress. */
  readonly calls: Set<{readonly expectedEndAt: number}>;
  /** -Infinity if the endpoint is not marked full. */
  fullUntil: number;
  slowness: number;
}

/**
 * Larger ratios count as this one, since the endpoints of a service differ in
 * speed by less than this factor.
 */
const MAXIMUM_SLOWNESS = 2;
/** Weight of one call in the moving average of its endpoint's slowness. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Tracks the stage calls of this instance in progress at each endpoint, and
 * when the endpoint is expected to be free again.
 *
 * @example
 *     const tracker = createStageCallTracker();
 *     const endCall = tracker.startCall('scan-1', 250, now);
 *     tracker.isFree('scan-1', 1, now); // false
 *     endCall();
 *     tracker.isFree('scan-1', 1, now); // true
 */
export function createStageCallTracker(): StageCallTracker {
  const byEndpoint = new Map<string, EndpointCalls>();

  function getOrCreate(id: string): EndpointCalls {
    let tracked = byEndpoint.get(id);
    if (tracked === undefined) {
      tracked = {calls: new Set(), fullUntil: -Infinity, slowness: 1};
      byEndpoint.set(id, tracked);
    }
    return tracked;
  }

  function getWait(id: string, slots: number, now: number): number {
    const {calls} = getOrCreate(id);
    if (calls.size < slots) return 0;
    const ends = [...calls].map(({expectedEndAt}) => expectedEndAt - now);
    return Math.max(0, Math.min(...ends));
  }

  function estimateWait(id: string, slots: number, now: number): number {
    const {calls} = getOrCreate(id);
    if (calls.size < slots) return 0;
    return Math.min(
      ...[...calls].map(({expectedEndAt}) => Math.abs(expectedEndAt - now)),
    );
  }

  return {
    startCall(id, milliseconds, now) {
      const {calls} = getOrCreate(id);
      const call = {expectedEndAt: now + milliseconds};
      calls.add(call);
      return () => void calls.delete(call);
    },
    getSlowness: (id) => getOrCreate(id).slowness,
    recordSlowness(id, ratio) {
      const tracked = getOrCreate(id);
      const bounded = Math.min(ratio, MAXIMUM_SLOWNESS);
      tracked.slowness += SMOOTHING_FACTOR * (bounded - tracked.slowness);
    },
    markFull: (id, until) => void (getOrCreate(id).fullUntil = until),
    clearFull: (id) => void (getOrCreate(id).fullUntil = -Infinity),
    isFree(id, slots, now) {
      const {calls, fullUntil} = getOrCreate(id);
      return calls.size < slots && fullUntil <= now;
    },
    getWait,
    estimateWait,
    getOtherDomainWaits(endpoints, failureDomain, slots, now) {
      const waits = new Map<string, number>();
      for (const endpoint of endpoints) {
        const domain = endpoint.failureDomain;
        if (domain === failureDomain) continue;
        const {fullUntil} = getOrCreate(endpoint.id);
        const wait = Math.max(
          estimateWait(endpoint.id, slots, now),
          fullUntil - now,
        );
        waits.set(domain, Math.min(waits.get(domain) ?? Infinity, wait));
      }
      return waits;
    },
    remove: (id) => void byEndpoint.delete(id),
  };
}
