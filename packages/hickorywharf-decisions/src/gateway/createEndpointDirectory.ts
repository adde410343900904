import {createHash} from 'node:crypto';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

/** What a read of the list changed. */
interface DirectoryChange {
  readonly tag: 'joined' | 'left' | 'draining' | 'restarted' | 'lapsed';
  readonly endpoint: GatewayEndpoint;
}

interface EndpointDirectory {
  /** Takes over a whole list, and gives what it changed. */
  update(listed: readonly GatewayEndpoint[], now: Instant): DirectoryChange[];
  /**
   * Takes over what another instance believes. It has judged lapses already.
   */
  updateFromPeer(
    believed: readonly GatewayEndpoint[],
    now: Instant,
  ): DirectoryChange[];
  /** What is believed, in the order of the names; `isDraining` lasts. */
  list(): readonly GatewayEndpoint[];
  /** Equal where two directories believe the same. */
  getDigest(): string;
  /** Notes that the list could not be read. */
  recordOutage(): void;
  /** The endpoints of a service that may get work. */
  getUsable(service: string): readonly GatewayEndpoint[];
  get(id: string): GatewayEndpoint | undefined;
}

interface KnownEndpoint {
  endpoint: GatewayEndpoint;
  /** When it was first missing; null while it is listed. */
  missingSince: Instant | null;
}

function getKey(endpoint: GatewayEndpoint): string {
  return `${endpoint.id}/${endpoint.startedAt}`;
}

/**
 * The endpoints that may get work, from successive reads of the whole list.
 * Draining lasts for one life of an endpoint. Entries that are missing right
 * after an outage of the store may only have lapsed, and stay in use until the
 * time in which a living endpoint is back is over; at other times a missing
 * entry is a departure.
 *
 * @param lapseMilliseconds how long after an outage a lapse is believed
 * @example
 *     const directory = createEndpointDirectory(2000);
 *     directory.update(listed, now);
 *     directory.getUsable('desk');
 */
export function createEndpointDirectory(
  lapseMilliseconds: number,
): EndpointDirectory {
  const known = new Map<string, KnownEndpoint>();
  const drained = new Set<string>();
  let usable = new Map<string, GatewayEndpoint[]>();
  let believed: readonly GatewayEndpoint[] = [];
  let digest: string | null = null;
  let isInterrupted = false;
  let regainedAt: Instant | null = null;

  function mayBeLapse(now: Instant): boolean {
    return (
      regainedAt !== null && getElapsed(regainedAt, now) < lapseMilliseconds
    );
  }

  function rebuild(): void {
    believed = [...known.values()]
      .map(({endpoint}) =>
        drained.has(getKey(endpoint))
          ? {...endpoint, isDraining: true}
          : endpoint,
      )
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    digest = null;
    usable = new Map();
    for (const endpoint of believed) {
      if (endpoint.isDraining) continue;
      const group = usable.get(endpoint.service) ?? [];
      group.push(endpoint);
      usable.set(endpoint.service, group);
    }
  }

  function take(endpoint: GatewayEndpoint): DirectoryChange[] {
    const before = known.get(endpoint.id);
    known.set(endpoint.id, {endpoint, missingSince: null});
    const isNew =
      before === undefined || before.endpoint.startedAt !== endpoint.startedAt;
    const changes: DirectoryChange[] = [];
    if (before === undefined) changes.push({tag: 'joined', endpoint});
    else if (isNew) changes.push({tag: 'restarted', endpoint});
    if (endpoint.isDraining && !drained.has(getKey(endpoint))) {
      drained.add(getKey(endpoint));
      changes.push({tag: 'draining', endpoint});
    }
    return changes;
  }

  function takeAll(
    listed: readonly GatewayEndpoint[],
    now: Instant,
  ): DirectoryChange[] {
    const changes = listed.flatMap(take);
    const present = new Set(listed.map(({id}) => id));
    for (const [id, entry] of known) {
      if (present.has(id)) continue;
      const {endpoint} = entry;
      if (mayBeLapse(now)) {
        if (entry.missingSince === null) {
          entry.missingSince = now;
          changes.push({tag: 'lapsed', endpoint});
        }
        continue;
      }
      known.delete(id);
      drained.delete(getKey(endpoint));
      changes.push({tag: 'left', endpoint});
    }
    rebuild();
    return changes;
  }

  return {
    update(listed, now) {
      if (isInterrupted) {
        regainedAt = now;
        isInterrupted = false;
      }
      return takeAll(listed, now);
    },
    updateFromPeer(listed, now) {
      isInterrupted = false;
      regainedAt = null;
      return takeAll(listed, now);
    },
    list: () => believed,
    getDigest() {
      digest ??= createHash('sha256')
        .update(JSON.stringify(believed))
        .digest('base64');
      return digest;
    },
    recordOutage() {
      isInterrupted = true;
    },
    getUsable: (service) => usable.get(service) ?? [],
    get: (id) => known.get(id)?.endpoint,
  };
}
