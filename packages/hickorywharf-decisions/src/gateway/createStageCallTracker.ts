import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';

interface StageWorkers {
  /** Notes a call that should take so long; gives how to end it. */
  begin(id: string, milliseconds: number, now: number): () => void;
  /** How the endpoint's calls compare with what they should take. */
  getSlowness(id: string): number;
  /** Learns from a call that took so many times what it should. */
  recordSlowness(id: string, slowness: number): void;
  /** The endpoint said that it has no room; nothing is sent there before. */
  markFull(id: string, until: number): void;
  /** A result there was freed. */
  clearFull(id: string): void;
  isFree(id: string, slots: number, now: number): boolean;
  /** Time until one of the endpoint's slots is free, in milliseconds. */
  getWait(id: string, slots: number, now: number): number;
  /** Time until an endpoint in each other failure domain is free. */
  getOtherDomainWaits(
    endpoints: readonly GatewayEndpoint[],
    failureDomain: string,
    slots: number,
    now: number,
  ): Map<string, number>;
  forget(id: string): void;
}

/** What this instance knows of one endpoint's calls. */
interface Worker {
  /** When each call under way should be done. */
  readonly calls: Set<{readonly doneAt: number}>;
  fullUntil: number;
  slowness: number;
}

/** Endpoints of a service differ in speed, by less than this. */
const MAXIMUM_SLOWNESS = 2;
/** Weight of a call in what is known of its endpoint's speed. */
const LEARNING_WEIGHT = 0.1;

/**
 * The calls of stages that are under way at each endpoint, and when the
 * endpoint is free again.
 *
 * @example
 *     const workers = createStageCallTracker();
 *     const end = workers.begin('scan-1', 250, now);
 *     workers.isFree('scan-1', 1, now); // false
 */
export function createStageCallTracker(): StageWorkers {
  const workers = new Map<string, Worker>();

  function get(id: string): Worker {
    let worker = workers.get(id);
    if (worker === undefined) {
      worker = {calls: new Set(), fullUntil: -Infinity, slowness: 1};
      workers.set(id, worker);
    }
    return worker;
  }

  function getWait(id: string, slots: number, now: number): number {
    const {calls} = get(id);
    if (calls.size < slots) return 0;
    const ends = [...calls].map(({doneAt}) => doneAt - now);
    return Math.max(0, Math.min(...ends));
  }

  return {
    begin(id, milliseconds, now) {
      const {calls} = get(id);
      const call = {doneAt: now + milliseconds};
      calls.add(call);
      return () => void calls.delete(call);
    },
    getSlowness: (id) => get(id).slowness,
    recordSlowness(id, slowness) {
      const worker = get(id);
      const bounded = Math.min(slowness, MAXIMUM_SLOWNESS);
      worker.slowness += LEARNING_WEIGHT * (bounded - worker.slowness);
    },
    markFull: (id, until) => void (get(id).fullUntil = until),
    clearFull: (id) => void (get(id).fullUntil = -Infinity),
    isFree(id, slots, now) {
      const {calls, fullUntil} = get(id);
      return calls.size < slots && fullUntil <= now;
    },
    getWait,
    getOtherDomainWaits(endpoints, failureDomain, slots, now) {
      const domains = new Map<string, number>();
      for (const endpoint of endpoints) {
        const domain = endpoint.failureDomain;
        if (domain === failureDomain) continue;
        const {fullUntil} = get(endpoint.id);
        const wait = Math.max(
          getWait(endpoint.id, slots, now),
          fullUntil - now,
        );
        domains.set(domain, Math.min(domains.get(domain) ?? Infinity, wait));
      }
      return domains;
    },
    forget: (id) => void workers.delete(id),
  };
}
