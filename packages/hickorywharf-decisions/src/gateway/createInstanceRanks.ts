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
  /** Number of instances in that order. */
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
  let rankedInstances: ReturnType<typeof recent.list> = [];

  function getRank(
    {id, service, startedAt}: Endpoint,
    instances: ReturnType<typeof recent.list>,
  ): number {
    if (instances !== rankedInstances) {
      rankedInstances = instances;
      ranks = new Map();
    }
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
    recordInstances(instances, now) {
      listedAt = now;
      recent.record(instances, now);
    },
    setStageServices(services) {
      stageServices = services;
      ranks = new Map();
    },
    get(endpoint, now) {
      const instances = recent.list(now);
      const isValid = now - listedAt < LIST_VALID_MILLISECONDS;
      return {
        rank: isValid ? getRank(endpoint, instances) : -1,
        instances: instances.length,
        isDispatched: stageServices.includes(endpoint.service),
      };
    },
  };
}
