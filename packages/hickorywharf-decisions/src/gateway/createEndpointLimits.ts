import type {EndpointLimitReport} from 'hickorywharf-types/gateway/endpointLimitReport';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {createRecentInstances} from './createRecentInstances.ts';
import {getLimitShare} from './getLimitShare.ts';
import {rankDispatchers} from './rankDispatchers.ts';

/** An endpoint on the list; `startedAt` distinguishes its incarnations. */
interface Endpoint {
  readonly id: string;
  readonly service: string;
  readonly startedAt: number;
}

interface LimitChange {
  readonly endpointId: string;
  /** Null for no limit. */
  readonly before: number | null;
  readonly callsPerSecond: number | null;
  /** Where the limit is known from: a response, or the report of a peer. */
  readonly origin: 'response' | 'peer';
}

/** Every `now` is in monotonic milliseconds. */
interface EndpointLimits {
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
  /**
   * Records the limit that a response of the endpoint states, null for none.
   * Returns the change; null if the limit is the same as before.
   */
  recordResponse(
    endpoint: Endpoint,
    callsPerSecond: number | null,
    now: number,
  ): LimitChange | null;
  /** Records what a peer knows, where it is newer; returns the changes. */
  recordReports(
    reports: readonly EndpointLimitReport[],
    now: number,
  ): LimitChange[];
  /** What this instance knows, for its peers. */
  listReports(now: number): EndpointLimitReport[];
  /** The rate at which this instance may call; Infinity without a limit. */
  getRate(endpoint: Endpoint, now: number): number;
  /**
   * Milliseconds until this instance may send a call; Infinity if other
   * instances use the limit.
   */
  getWait(endpoint: Endpoint, now: number): number;
  /** Counts a call to be sent after the wait that is returned. */
  reserve(endpoint: Endpoint, now: number): number;
}

interface KnownLimit {
  readonly startedAt: number;
  callsPerSecond: number | null;
  /** When the endpoint stated it. */
  statedAt: number;
  source: string;
  /** Calls that may be sent now; negative after reservations. */
  available: number;
  updatedAt: number;
  /** The share of this instance at the last update, in calls per second. */
  rate: number;
  /** When this instance last sent a call beyond its share. */
  probedAt: number;
}

/** Longer than the instance lists of two instances may differ. */
const LISTS_DIFFER_MILLISECONDS = 4000;
/**
 * If no instance got a response of an endpoint for this time, its limit may
 * have ended: in each interval after it one instance, in turn, may send a call
 * beyond its share.
 */
const PROBE_MILLISECONDS = 10_000;
const PROBE_INTERVAL_MILLISECONDS = 4000;
/** How long peers are told that a limit has ended. */
const ENDED_REPORT_MILLISECONDS = 30_000;
/** A limit that nobody confirmed for this time is forgotten. */
const FORGET_MILLISECONDS = 600_000;
/** Of two responses that are this close, either may be the newer one. */
const SAME_TIME_MILLISECONDS = 100;
/** Bounds the reports in one frame; the newest are sent. */
const MAXIMUM_REPORTS = 500;

/**
 * Keeps the rate limits that endpoints state for all instances together. Each
 * limit is divided among the instances by `getLimitShare`, and each instance
 * spaces its calls by its share. An instance learns a limit and its end from
 * responses, and from the reports of its peers if it sends no calls itself.
 *
 * @param name name of this instance
 * @param incarnation distinguishes the starts of the instance
 * @example
 *     const limits = createEndpointLimits('front-1', 'b2f0');
 *     limits.recordResponse(endpoint, 1.4, now);
 *     limits.getWait(endpoint, now); // 2143 for one of three instances
 */
export function createEndpointLimits(
  name: string,
  incarnation: string,
): EndpointLimits {
  const recent = createRecentInstances(LISTS_DIFFER_MILLISECONDS);
  const limits = new Map<string, KnownLimit>();
  let stageServices: readonly string[] = [];
  /** Cached orders of the instances, by endpoint, and for which list. */
  let orders = new Map<string, readonly string[]>();
  let orderedInstances: ReturnType<typeof recent.list> = [];
  let lastResponse = 0;

  function getOrder(endpoint: Endpoint, now: number): readonly string[] {
    const instances = recent.list(now);
    if (instances !== orderedInstances) {
      orderedInstances = instances;
      orders = new Map();
    }
    let order = orders.get(endpoint.id);
    if (order === undefined) {
      const {id, service} = endpoint;
      order = stageServices.includes(service)
        ? rankDispatchers(service, stageServices, instances)
        : orderByRendezvous(
            id,
            instances.map((instance) => instance.name),
          );
      orders.set(id, order);
    }
    return order;
  }

  /** Undefined if the endpoint's incarnation has no limit. */
  function findLimit({id, startedAt}: Endpoint): KnownLimit | undefined {
    const known = limits.get(id);
    const isCurrent = known?.startedAt === startedAt;
    return isCurrent && known.callsPerSecond !== null ? known : undefined;
  }

  /** Adds the calls that became available since the last update. */
  function update(endpoint: Endpoint, known: KnownLimit, now: number): void {
    const order = getOrder(endpoint, now);
    const share = getLimitShare({
      callsPerSecond: known.callsPerSecond!,
      rank: order.indexOf(name),
      instances: order.length,
      isDispatched: stageServices.includes(endpoint.service),
    });
    const rate = Math.min(known.rate, share.callsPerSecond);
    const added = (rate * (now - known.updatedAt)) / 1000;
    known.available = Math.min(known.available + added, share.burst);
    known.updatedAt = now;
    known.rate = share.callsPerSecond;
  }

  function mayProbe(
    endpoint: Endpoint,
    known: KnownLimit,
    now: number,
  ): boolean {
    const order = getOrder(endpoint, now);
    const firstAt = known.statedAt + PROBE_MILLISECONDS;
    const interval = Math.floor((now - firstAt) / PROBE_INTERVAL_MILLISECONDS);
    if (interval < 0 || order[interval % order.length] !== name) return false;
    return known.probedAt < firstAt + interval * PROBE_INTERVAL_MILLISECONDS;
  }

  function getWait(endpoint: Endpoint, now: number): number {
    const known = findLimit(endpoint);
    if (known === undefined) return 0;
    update(endpoint, known, now);
    if (known.available >= 1 && known.rate > 0) return 0;
    if (mayProbe(endpoint, known, now)) return 0;
    if (known.rate === 0) return Infinity;
    return ((1 - known.available) / known.rate) * 1000;
  }

  function record(
    endpoint: {readonly id: string; readonly startedAt: number},
    stated: Pick<KnownLimit, 'callsPerSecond' | 'statedAt' | 'source'>,
    now: number,
    origin: LimitChange['origin'],
  ): LimitChange | null {
    const {id, startedAt} = endpoint;
    const known = limits.get(id);
    const current = known?.startedAt === startedAt ? known : undefined;
    const before = current?.callsPerSecond ?? null;
    const {callsPerSecond} = stated;
    // There is nothing to tell peers, or they are told already.
    if (before === null && callsPerSecond === null) return null;
    if (current === undefined || before === null) {
      const start = {
        available: 0,
        updatedAt: now,
        rate: 0,
        probedAt: -Infinity,
      };
      limits.set(id, {startedAt, ...stated, ...start});
    } else Object.assign(current, stated);
    if (before === callsPerSecond) return null;
    return {endpointId: id, before, callsPerSecond, origin};
  }

  function forgetOld(now: number): void {
    for (const [id, {statedAt}] of limits) {
      if (now - statedAt > FORGET_MILLISECONDS) limits.delete(id);
    }
  }

  return {
    recordInstances(instances, now) {
      recent.record(instances, now);
      forgetOld(now);
    },
    setStageServices(services) {
      stageServices = services;
      orders = new Map();
    },
    recordResponse(endpoint, callsPerSecond, now) {
      lastResponse += 1;
      const source = `${incarnation}/${lastResponse}`;
      const stated = {callsPerSecond, statedAt: now, source};
      return record(endpoint, stated, now, 'response');
    },
    recordReports(reports, now) {
      return reports.flatMap((report) => {
        const {endpointId, startedAt, callsPerSecond, source} = report;
        const statedAt = now - report.ageMilliseconds;
        const known = limits.get(endpointId);
        if (known !== undefined) {
          // A report that comes back seems newer by the time on the way.
          if (known.source === source || known.startedAt > startedAt) return [];
          const difference = statedAt - known.statedAt;
          const isSameTime = Math.abs(difference) < SAME_TIME_MILLISECONDS;
          const isNewer = isSameTime ? source > known.source : difference > 0;
          if (known.startedAt === startedAt && !isNewer) return [];
        }
        const endpoint = {id: endpointId, startedAt};
        const stated = {callsPerSecond, statedAt, source};
        return record(endpoint, stated, now, 'peer') ?? [];
      });
    },
    listReports(now) {
      return [...limits]
        .map(([endpointId, known]) => ({
          endpointId,
          startedAt: known.startedAt,
          callsPerSecond: known.callsPerSecond,
          ageMilliseconds: Math.max(0, now - known.statedAt),
          source: known.source,
        }))
        .filter(
          ({callsPerSecond, ageMilliseconds}) =>
            callsPerSecond !== null ||
            ageMilliseconds < ENDED_REPORT_MILLISECONDS,
        )
        .sort((left, right) => left.ageMilliseconds - right.ageMilliseconds)
        .slice(0, MAXIMUM_REPORTS);
    },
    getRate(endpoint, now) {
      const known = findLimit(endpoint);
      if (known === undefined) return Infinity;
      update(endpoint, known, now);
      return known.rate;
    },
    getWait,
    reserve(endpoint, now) {
      const known = findLimit(endpoint);
      if (known === undefined) return 0;
      const wait = getWait(endpoint, now);
      if (known.available < 1 && wait === 0) {
        known.probedAt = now;
        return 0;
      }
      known.available -= 1;
      return wait;
    },
  };
}
