import {createHash} from 'node:crypto';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

/** A difference between two successive endpoint lists. */
interface DirectoryChange {
  /**
   * `restarted`: the same id with another start time. `expired`: missing but
   * kept, as the endpoint may still be running and register again.
   */
  readonly tag: 'joined' | 'left' | 'draining' | 'restarted' | 'expired';
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
  /** All endpoints that have not left, in the order of their ids. */
  list(): readonly GatewayEndpoint[];
  /** SHA-256 of the list in base64: equal for directories with equal lists. */
  getDigest(): string;
  /** Records that the list could not be read from the store. */
  recordOutage(): void;
  /** The endpoints of a service that may get work: all but draining ones. */
  getUsable(service: string): readonly GatewayEndpoint[];
  /** An endpoint that has not left, as last listed; undefined for others. */
  get(id: string): GatewayEndpoint | undefined;
}

interface KnownEndpoint {
  endpoint: GatewayEndpoint;
  /** When the endpoint was first missing; null while it is listed. */
  missingSince: Instant | null;
}

/** Identifies one incarnation of an endpoint. */
function getIncarnationKey(endpoint: GatewayEndpoint): string {
  return `${endpoint.id}/${endpoint.startedAt}`;
}

/**
 * Tracks the endpoints and which of them may get work, from successive reads of
 * the whole list. Draining persists for one incarnation of an endpoint, even if
 * later lists do not state it. The registration of an endpoint that is missing
 * right after an outage of the store may only have expired: the endpoint stays
 * in use until `lapseMilliseconds` after the first list read from the store
 * since the outage, a time within which a running endpoint has registered
 * again. At other times a missing endpoint has left.
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
  const drained = new Set<string>();
  let usable = new Map<string, GatewayEndpoint[]>();
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

  function rebuild(): void {
    current = [...known.values()]
      .map(({endpoint}) =>
        drained.has(getIncarnationKey(endpoint))
          ? {...endpoint, isDraining: true}
          : endpoint,
      )
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    digest = null;
    usable = new Map();
    for (const endpoint of current) {
      if (endpoint.isDraining) continue;
      const group = usable.get(endpoint.service) ?? [];
      group.push(endpoint);
      usable.set(endpoint.service, group);
    }
  }

  function apply(endpoint: GatewayEndpoint): DirectoryChange[] {
    const before = known.get(endpoint.id);
    known.set(endpoint.id, {endpoint, missingSince: null});
    const isNew =
      before === undefined || before.endpoint.startedAt !== endpoint.startedAt;
    const changes: DirectoryChange[] = [];
    if (before === undefined) changes.push({tag: 'joined', endpoint});
    else if (isNew) changes.push({tag: 'restarted', endpoint});
    if (endpoint.isDraining && !drained.has(getIncarnationKey(endpoint))) {
      drained.add(getIncarnationKey(endpoint));
      changes.push({tag: 'draining', endpoint});
    }
    return changes;
  }

  function applyAll(
    listed: readonly GatewayEndpoint[],
    now: Instant,
  ): DirectoryChange[] {
    const changes = listed.flatMap(apply);
    const present = new Set(listed.map(({id}) => id));
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
      drained.delete(getIncarnationKey(endpoint));
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
    getUsable: (service) => usable.get(service) ?? [],
    get: (id) => known.get(id)?.endpoint,
  };
}
