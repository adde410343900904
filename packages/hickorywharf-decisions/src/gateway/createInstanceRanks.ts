import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {createRecentInstances} from './createRecentInstances.ts';
import {rankDispatchers} from './rankDispatchers.ts';

/** An incarnation of an endpoint. */
interface Endpoint {
  readonly id: string;
  readonly service: string;
  readonly startedAt: number;
}

interface InstanceRank {
  /** Position in the order of the instances; -1 if it has none now. */
  readonly rank: number;
  /** Number of instances in that order, or in a recent one that had more. */
  readonly instances: number;
  /** Whether one instance at a time sends nearly all calls to the service. */
  readonly isDispatched: boolean;
}

/** Every `now` is in monotonic milliseconds. */
interface InstanceRanks {
  /** Records a complete list of the instances, including this one. */
  recordInstances(
    instances: ReadonlyArray<{
      readonly name: string;
      readonly capacity: number;
    }>,
    now: number,
  ): void;
  /** Sets the services whose calls one instance dispatches for all. */
  setStageServices(services: readonly string[]): void;
  /** The position of this instance among those that may call an endpoint. */
  get(endpoint: Endpoint, now: number): InstanceRank;
}

/** Longer than the instance lists of two instances may differ. */
const LISTS_DIFFER_MILLISECONDS = 4000;
/**
 * An instance that could not read the instance list for this time has no
 * position: others may soon count without it. They do so only after its
 * registration has expired, which takes longer.
 */
const LIST_VALID_MILLISECONDS = 8000;
/**
 * How long the largest number of instances counts: registrations may all be
 * missing for some seconds after an outage of the store.
 */
const LARGEST_MILLISECONDS = 60_000;
/** How long the instances that count are kept without being computed again. */
const REFRESH_MILLISECONDS = 100;

/**
 * Ranks this instance among all for each endpoint, in an order that all
 * instances with the same list agree on without communication, and that differs
 * by the endpoint's incarnation. For the endpoints of a stage it is the order of
 * its dispatchers.
 *
 * An instance has no position until it has known the instances for some seconds,
 * and none once its list is old.
 *
 * @param name name of this instance
 * @example
 *     const ranks = createInstanceRanks('front-1');
 *     ranks.recordInstances(instances, 0);
 *     ranks.get(endpoint, 5000).rank; // 3
 */
export function createInstanceRanks(name: string): InstanceRanks {
  const recent = createRecentInstances(LISTS_DIFFER_MILLISECONDS);
  let listedAt = -Infinity;
  let stageServices: readonly string[] = [];
  /** Cached positions, by incarnation of the endpoint, and for which list. */
  let ranks = new Map<string, number>();
  let instances: ReturnType<typeof recent.list> = [];
  let refreshedAt = -Infinity;
  let largest = {instances: 0, at: -Infinity};

  function refresh(now: number): void {
    if (now - refreshedAt < REFRESH_MILLISECONDS) return;
    refreshedAt = now;
    const next = recent.list(now);
    if (next !== instances) ranks = new Map();
    instances = next;
    const isOld = now - largest.at > LARGEST_MILLISECONDS;
    if (isOld || next.length >= largest.instances) {
      largest = {instances: next.length, at: now};
    }
  }

  function getRank({id, service, startedAt}: Endpoint): number {
    const key = `${id}/${startedAt}`;
    let rank = ranks.get(key);
    if (rank === undefined) {
      const order = stageServices.includes(service)
        ? rankDispatchers(service, stageServices, instances)
        : orderByRendezvous(
            key,
            instances.map((instance) => instance.name),
          );
      rank = order.indexOf(name);
      ranks.set(key, rank);
    }
    return rank;
  }

  return {
    recordInstances(listed, now) {
      listedAt = now;
      refreshedAt = -Infinity;
      recent.record(listed, now);
      refresh(now);
    },
    setStageServices(services) {
      stageServices = services;
      ranks = new Map();
    },
    get(endpoint, now) {
      refresh(now);
      const isValid = now - listedAt < LIST_VALID_MILLISECONDS;
      return {
        rank: isValid ? getRank(endpoint) : -1,
        instances: instances.length > 0 ? largest.instances : 0,
        isDispatched: stageServices.includes(endpoint.service),
      };
    },
  };
}
