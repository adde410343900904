import {createHash} from 'node:crypto';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

/** A difference between two successive endpoint lists, or to what is known. */
interface DirectoryChange {
  /**
   * `restarted`: the same id with another start time. `expired`: missing but
   * kept, as the endpoint may still be running and register again. `leaving`:
   * the endpoint itself said so, whatever the lists state.
   */
  readonly tag:
    'joined' | 'left' | 'draining' | 'leaving' | 'restarted' | 'expired';
  readonly endpoint: GatewayEndpoint;
}

interface EndpointDirectory {
  /** Applies a complete list read from the store; returns the differences. */
  update(listed: readonly GatewayEndpoint[], now: Instant): DirectoryChange[];
  /**
   * Applies the list of another instance; returns the differences. A missing
   * endpoint has left, since the other instance still lists the endpoints whose
   * registrations may only have expired.
   */
  updateFromPeer(
    reported: readonly GatewayEndpoint[],
    now: Instant,
  ): DirectoryChange[];
  /**
   * Records that an incarnation of an endpoint said in a response that it
   * leaves: it gets no further work, whatever later lists state. Returns the
   * change; none if it was known.
   */
  recordLeaving(endpoint: GatewayEndpoint, now: Instant): DirectoryChange[];
  /** Whether the incarnation of the endpoint said that it leaves. */
  isLeaving(endpoint: GatewayEndpoint): boolean;
  /**
   * All endpoints that have not left, in the order of their ids. Those that
   * only said in a response that they leave are listed as before.
   */
  list(): readonly GatewayEndpoint[];
  /** SHA-256 of the list in base64: equal for directories with equal lists. */
  getDigest(): string;
  /** Records that the list could not be read from the store. */
  recordOutage(): void;
  /**
   * Records that the store was restored from a copy: missing endpoints may
   * register again, and those that had left may be listed although they are
   * gone.
   */
  recordRestored(now: Instant): void;
  /** Sets the failure domains whose endpoints get no work. */
  setEvacuated(failureDomains: readonly string[]): void;
  /** Whether the failure domain of the endpoint is evacuated. */
  isEvacuated(endpoint: GatewayEndpoint): boolean;
  /**
   * Whether a service has no usable endpoint, and would have one without the
   * evacuations: nobody knows when it may get work again.
   */
  isEmptied(service: string): boolean;
  /**
   * The endpoints of a service that may get work: all but those that drain, said
   * that they leave, or are in an evacuated failure domain.
   */
  getUsable(service: string): readonly GatewayEndpoint[];
  /** An endpoint that has not left, as last listed; undefined for others. */
  get(id: string): GatewayEndpoint | undefined;
}

interface KnownEndpoint {
  endpoint: GatewayEndpoint;
  /** When the endpoint was first missing; null while it is listed. */
  missingSince: Instant | null;
}

/** Incarnations that drained, said that they leave or left are kept so long. */
const REMEMBER_MILLISECONDS = 300_000;
/**
 * An endpoint that had left and is listed by a restored store is used only if
 * it is still listed after this time, in which the registration of one that is
 * gone expires.
 */
const RETURN_MILLISECONDS = 5000;

/** Identifies one incarnation of an endpoint. */
function getIncarnationKey(endpoint: GatewayEndpoint): string {
  return `${endpoint.id}/${endpoint.startedAt}`;
}

/**
 * Tracks the endpoints and which of them may get work, from successive reads of
 * the whole list. Draining persists for one incarnation of an endpoint, even if
 * later lists do not state it, and so does its own statement that it leaves.
 * The registration of an endpoint that is missing right after an outage of the
 * store may only have expired: the endpoint stays in use until
 * `lapseMilliseconds` after the first list read from the store since the
 * outage, a time within which a running endpoint has registered again. At other
 * times a missing endpoint has left. Endpoints in evacuated failure domains stay
 * listed and get no work.
 *
 * @param lapseMilliseconds how long after the store has recovered missing
 *     endpoints are kept
 * @example
 *     const directory = createEndpointDirectory(2000);
 *     directory.update(listed, now); // [{tag: 'joined', endpoint}]
 *     directory.getUsable('desk'); // [endpoint]
 */
export function createEndpointDirectory(
  lapseMilliseconds: number,
): EndpointDirectory {
  const known = new Map<string, KnownEndpoint>();
  /** Incarnations that drained, said that they leave or left, and when. */
  const drained = new Map<string, Instant>();
  const leaving = new Map<string, Instant>();
  const departed = new Map<string, Instant>();
  let restoredAt: Instant | null = null;
  let usable = new Map<string, GatewayEndpoint[]>();
  let evacuated: ReadonlySet<string> = new Set();
  /** Services with endpoints that only the evacuations make unusable. */
  let evacuatedServices: ReadonlySet<string> = new Set();
  let current: readonly GatewayEndpoint[] = [];
  let digest: string | null = null;
  let isStoreUnavailable = false;
  let storeRecoveredAt: Instant | null = null;

  function mayBeExpired(now: Instant): boolean {
    return (
      storeRecoveredAt !== null &&
      getElapsed(storeRecoveredAt, now) < lapseMilliseconds
    );
  }

  function isLeaving(endpoint: GatewayEndpoint): boolean {
    return leaving.has(getIncarnationKey(endpoint));
  }

  function isEvacuated({failureDomain}: GatewayEndpoint): boolean {
    return evacuated.has(failureDomain);
  }

  function rebuild(): void {
    current = [...known.values()]
      .map(({endpoint}) =>
        drained.has(getIncarnationKey(endpoint))
          ? {...endpoint, isDraining: true}
          : endpoint,
      )
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    digest = null;
    collectUsable();
  }

  function collectUsable(): void {
    usable = new Map();
    const services = new Set<string>();
    for (const endpoint of current) {
      if (endpoint.isDraining || isLeaving(endpoint)) continue;
      if (isEvacuated(endpoint)) {
        services.add(endpoint.service);
        continue;
      }
      const group = usable.get(endpoint.service) ?? [];
      group.push(endpoint);
      usable.set(endpoint.service, group);
    }
    evacuatedServices = services;
  }

  function forgetOld(now: Instant): void {
    for (const remembered of [drained, leaving, departed]) {
      for (const [key, at] of remembered) {
        const isOld = getElapsed(at, now) > REMEMBER_MILLISECONDS;
        if (isOld && !known.has(key.slice(0, key.lastIndexOf('/')))) {
          remembered.delete(key);
        }
      }
    }
  }

  /** Whether only a restored store lists an endpoint that had left. */
  function isDeparted(endpoint: GatewayEndpoint, now: Instant): boolean {
    return (
      restoredAt !== null &&
      getElapsed(restoredAt, now) < RETURN_MILLISECONDS &&
      departed.has(getIncarnationKey(endpoint)) &&
      !known.has(endpoint.id)
    );
  }

  function apply(endpoint: GatewayEndpoint, now: Instant): DirectoryChange[] {
    const before = known.get(endpoint.id);
    known.set(endpoint.id, {endpoint, missingSince: null});
    const isNew =
      before === undefined || before.endpoint.startedAt !== endpoint.startedAt;
    const changes: DirectoryChange[] = [];
    if (before === undefined) changes.push({tag: 'joined', endpoint});
    else if (isNew) changes.push({tag: 'restarted', endpoint});
    if (endpoint.isDraining && !drained.has(getIncarnationKey(endpoint))) {
      drained.set(getIncarnationKey(endpoint), now);
      changes.push({tag: 'draining', endpoint});
    }
    return changes;
  }

  function applyAll(
    listed: readonly GatewayEndpoint[],
    now: Instant,
  ): DirectoryChange[] {
    const returned = listed.filter((endpoint) => !isDeparted(endpoint, now));
    const changes = returned.flatMap((endpoint) => apply(endpoint, now));
    const present = new Set(returned.map(({id}) => id));
    forgetOld(now);
    for (const [id, entry] of known) {
      if (present.has(id)) continue;
      const {endpoint} = entry;
      if (mayBeExpired(now)) {
        if (entry.missingSince === null) {
          entry.missingSince = now;
          changes.push({tag: 'expired', endpoint});
        }
        continue;
      }
      known.delete(id);
      const key = getIncarnationKey(endpoint);
      departed.set(key, now);
      // From its departure on, as the same incarnation may be listed again.
      for (const remembered of [drained, leaving]) {
        if (remembered.has(key)) remembered.set(key, now);
      }
      changes.push({tag: 'left', endpoint});
    }
    rebuild();
    return changes;
  }

  return {
    update(listed, now) {
      if (isStoreUnavailable) {
        storeRecoveredAt = now;
        isStoreUnavailable = false;
      }
      return applyAll(listed, now);
    },
    updateFromPeer(listed, now) {
      isStoreUnavailable = false;
      storeRecoveredAt = null;
      return applyAll(listed, now);
    },
    recordLeaving(endpoint, now) {
      if (isLeaving(endpoint)) return [];
      leaving.set(getIncarnationKey(endpoint), now);
      rebuild();
      return [{tag: 'leaving', endpoint}];
    },
    isLeaving,
    list: () => current,
    getDigest() {
      digest ??= createHash('sha256')
        .update(JSON.stringify(current))
        .digest('base64');
      return digest;
    },
    recordOutage() {
      isStoreUnavailable = true;
    },
    recordRestored(now) {
      isStoreUnavailable = true;
      restoredAt = now;
    },
    setEvacuated(failureDomains) {
      evacuated = new Set(failureDomains);
      collectUsable();
    },
    isEvacuated,
    isEmptied: (service) =>
      evacuatedServices.has(service) && !usable.has(service),
    getUsable: (service) => usable.get(service) ?? [],
    get: (id) => known.get(id)?.endpoint,
  };
}
