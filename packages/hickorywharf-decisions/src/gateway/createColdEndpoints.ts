import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';
import {createInstanceRanks} from './createInstanceRanks.ts';
import {getColdShare} from './getColdShare.ts';
import {getColdWindow} from './getColdWindow.ts';
import type {Instant} from './instant.ts';

type Service = Pick<GatewayService, 'name' | 'coldStart' | 'stage'>;
type ColdStart = NonNullable<Service['coldStart']>;
/** An incarnation of an endpoint on the list. */
type Endpoint = Pick<
  GatewayEndpoint,
  'id' | 'service' | 'startedAt' | 'coldMilliseconds'
>;

/** The bound of the deployment on the calls to a cold endpoint. */
interface ColdBound {
  readonly overageRatio: number;
  readonly slackCalls: number;
}

/** An endpoint that counts as cold, or as warm again. */
interface ColdChange {
  /**
   * `listed`: its entry states that it is cold. `started`: it has started, and
   * its entry does not state anything. `warm`: it is cold no more.
   */
  readonly tag: 'listed' | 'started' | 'warm';
  readonly endpoint: Endpoint;
  /** How much longer it is cold; for `warm`, how long it was. */
  readonly milliseconds: number;
}

/** Every `now` is in monotonic milliseconds. */
interface ColdEndpoints {
  /** Records a complete list of the instances, including this one. */
  recordInstances(
    instances: ReadonlyArray<{
      readonly name: string;
      readonly capacity: number;
    }>,
    now: number,
  ): void;
  /** Sets the services of the active configuration; a rate of 0 is no bound. */
  setServices(services: readonly Service[]): void;
  /** Records a complete list of the endpoints; returns what has changed. */
  recordEndpoints(listed: readonly Endpoint[], at: Instant): ColdChange[];
  /** Whether any endpoint counts as cold, or did at the last list. */
  hasCold(): boolean;
  /** How much longer the endpoint counts as cold; 0 if it is warm. */
  getRemaining(endpoint: Endpoint, now: number): number;
  /** Calls per second of this instance; Infinity for a warm endpoint. */
  getRate(endpoint: Endpoint, now: number): number;
  /**
   * Milliseconds until this instance may send a call, at most until the
   * endpoint is warm.
   */
  getWait(endpoint: Endpoint, now: number): number;
  /** Counts a call that is sent at a time, not before `now`. */
  recordCall(endpoint: Endpoint, sentAt: number, now: number): void;
}

interface KnownEndpoint {
  readonly endpoint: Endpoint;
  /** What its entry stated last. */
  stated: number;
  coldSince: number;
  coldUntil: number;
}

/** Clocks of endpoints and instances may differ by this much. */
const CLOCK_TOLERANCE_MILLISECONDS = 5000;
/** Bounds what an entry states; entries may have any figure. */
const MAXIMUM_COLD_MILLISECONDS = 60_000;

function getStated({coldMilliseconds = 0}: Endpoint): number {
  return coldMilliseconds > 0
    ? Math.min(coldMilliseconds, MAXIMUM_COLD_MILLISECONDS)
    : 0;
}

function getKey({id, startedAt}: Endpoint): string {
  return `${id}/${startedAt}`;
}

/**
 * Tracks which endpoints are cold, and keeps the calls of all instances to each
 * of them within what it can bear, in every sliding second.
 *
 * An endpoint is cold for as long as its entry states, from the moment at which
 * this instance first sees that statement, which is not before it was made. An
 * incarnation that states nothing is cold for the time of a start if it started
 * a moment ago, while this instance had known the others for some seconds: when
 * all start together there are no calls yet. An entry that states nothing
 * more ends what it stated before.
 *
 * The calls are divided by `getColdShare` in the order of `createInstanceRanks`.
 * An instance that has just started has no share for longer than the calls count
 * that it may have sent before.
 *
 * Designed for failure domains that come back cold, endpoints that turn cold
 * again, and instances that are cut off or restart meanwhile.
 *
 * @param name name of this instance
 * @param getBound null where endpoints have no bound
 * @example
 *     const cold = createColdEndpoints('front-1', () => ({overageRatio: 1.5, slackCalls: 5}));
 *     cold.recordEndpoints(listed, at);
 *     cold.getWait(endpoint, now); // 0 if a call may be sent
 */
export function createColdEndpoints(
  name: string,
  getBound: () => ColdBound | null,
): ColdEndpoints {
  const ranks = createInstanceRanks(name);
  let services = new Map<string, ColdStart>();
  /** Cold endpoints as of the last list; most of the time there are none. */
  let coldCount = 0;
  const known = new Map<string, KnownEndpoint>();
  /** Times of this instance's last calls to each incarnation, ascending. */
  const calls = new Map<string, number[]>();

  /** Undefined if the service has no bound. */
  function getColdStart({service}: Endpoint): ColdStart | undefined {
    return getBound() === null ? undefined : services.get(service);
  }

  function getRemaining(endpoint: Endpoint, now: number): number {
    const entry = known.get(endpoint.id);
    if (entry?.endpoint.startedAt !== endpoint.startedAt) return 0;
    return Math.max(0, entry.coldUntil - now);
  }

  /** Undefined if the endpoint is warm, or its service has no bound. */
  function findShare(endpoint: Endpoint, now: number) {
    if (getRemaining(endpoint, now) === 0) return undefined;
    const coldStart = getColdStart(endpoint);
    if (coldStart === undefined) return undefined;
    const {overageRatio, slackCalls} = getBound()!;
    const {callsPerSecond} = coldStart;
    const share = getColdShare({
      callsPerSecond,
      ratedCalls: callsPerSecond * overageRatio,
      maximumCalls: callsPerSecond * overageRatio + slackCalls,
      ...ranks.get(endpoint, now),
    });
    return {calls: share, windowMilliseconds: getColdWindow(callsPerSecond)};
  }

  /** How long an incarnation that is seen for the first time is cold. */
  function getFirst(endpoint: Endpoint, coldStart: ColdStart, at: Instant) {
    const stated = getStated(endpoint);
    if (stated > 0) return stated;
    const age = at.wall - endpoint.startedAt;
    const isRecent =
      age < coldStart.milliseconds + CLOCK_TOLERANCE_MILLISECONDS;
    const {instances} = ranks.get(endpoint, at.monotonic);
    return isRecent && instances > 0 ? coldStart.milliseconds : 0;
  }

  function setCold(
    entry: KnownEndpoint,
    milliseconds: number,
    now: number,
  ): ColdChange[] {
    if (milliseconds === 0) return [];
    const {endpoint, stated} = entry;
    const wasCold = entry.coldUntil > now;
    if (!wasCold) entry.coldSince = now;
    entry.coldUntil = now + milliseconds;
    if (wasCold) return [];
    return [{tag: stated > 0 ? 'listed' : 'started', endpoint, milliseconds}];
  }

  function recordEndpoint(endpoint: Endpoint, at: Instant): ColdChange[] {
    const coldStart = getColdStart(endpoint);
    if (coldStart === undefined) return [];
    const stated = getStated(endpoint);
    const now = at.monotonic;
    const before = known.get(endpoint.id);
    if (before?.endpoint.startedAt !== endpoint.startedAt) {
      const entry = {endpoint, stated, coldSince: now, coldUntil: -Infinity};
      known.set(endpoint.id, entry);
      return setCold(entry, getFirst(endpoint, coldStart, at), now);
    }
    // An entry that is listed again says nothing new.
    if (before.stated === stated) return [];
    before.stated = stated;
    if (stated > 0) return setCold(before, stated, now);
    return end(before, now);
  }

  function end(entry: KnownEndpoint, endedAt: number): ColdChange[] {
    const {endpoint, coldSince, coldUntil} = entry;
    if (coldUntil === -Infinity) return [];
    entry.coldUntil = -Infinity;
    const milliseconds = Math.min(coldUntil, endedAt) - coldSince;
    return [{tag: 'warm', endpoint, milliseconds}];
  }

  /** Ends what has become warm, and forgets what is listed no more. */
  function endCold(listed: readonly Endpoint[], now: number): ColdChange[] {
    const changes: ColdChange[] = [];
    const present = new Set(listed.map(getKey));
    for (const [id, entry] of known) {
      const {endpoint} = entry;
      if (entry.coldUntil <= now) changes.push(...end(entry, now));
      const isBound = getColdStart(endpoint) !== undefined;
      if (!isBound || !present.has(getKey(endpoint))) known.delete(id);
    }
    for (const key of calls.keys()) {
      if (!present.has(key)) calls.delete(key);
    }
    return changes;
  }

  return {
    recordInstances: ranks.recordInstances,
    setServices(next) {
      services = new Map(
        next.flatMap(({name: service, coldStart}) =>
          coldStart !== undefined && coldStart.callsPerSecond > 0
            ? [[service, coldStart] as const]
            : [],
        ),
      );
      ranks.setStageServices(
        next.filter(({stage}) => stage !== null).map((service) => service.name),
      );
    },
    recordEndpoints(listed, at) {
      const ended = endCold(listed, at.monotonic);
      const changes = listed.flatMap((endpoint) =>
        recordEndpoint(endpoint, at),
      );
      coldCount = [...known.values()].filter(
        ({coldUntil}) => coldUntil > -Infinity,
      ).length;
      return [...ended, ...changes];
    },
    hasCold: () => coldCount > 0,
    getRemaining,
    getRate(endpoint, now) {
      const share = findShare(endpoint, now);
      if (share === undefined) return Infinity;
      return (share.calls * 1000) / share.windowMilliseconds;
    },
    getWait(endpoint, now) {
      const share = findShare(endpoint, now);
      if (share === undefined) return 0;
      const remaining = getRemaining(endpoint, now);
      if (share.calls === 0) return remaining;
      const sent = calls.get(getKey(endpoint))?.at(-share.calls) ?? -Infinity;
      const free = Math.max(0, sent + share.windowMilliseconds - now);
      return Math.min(free, remaining);
    },
    recordCall(endpoint, sentAt, now) {
      const coldStart = getColdStart(endpoint);
      if (coldStart === undefined) return;
      const key = getKey(endpoint);
      const windowMilliseconds = getColdWindow(coldStart.callsPerSecond);
      const times = (calls.get(key) ?? []).filter(
        (time) => time > now - windowMilliseconds,
      );
      times.push(sentAt);
      times.sort((left, right) => left - right);
      calls.set(key, times);
    },
  };
}
