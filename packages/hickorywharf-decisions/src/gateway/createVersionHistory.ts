import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ServiceVersion} from 'hickorywharf-types/gateway/serviceVersion';
import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';
import {VERSION_KEEP_FACTOR} from './versionKeepFactor.ts';

type VersionedEndpoint = Pick<
  GatewayEndpoint,
  'service' | 'version' | 'startedAt'
>;

interface VersionHistory {
  /** Records the endpoint list that the store had at `readAt` or later. */
  recordList(
    endpoints: readonly VersionedEndpoint[],
    readAt: Instant,
    now: Instant,
  ): void;
  /**
   * Records the versions at which any instance may have begun streams before
   * `readAt`, as the instances have published them. Of a service without any
   * nothing is known. To be called once, right after the start.
   */
  recordPublished(versions: readonly ServiceVersion[], readAt: Instant): void;
  /**
   * The versions that this instance has to publish: those of the lists of the
   * last `lifetimeMilliseconds`, sorted.
   */
  listListed(now: Instant, lifetimeMilliseconds: number): ServiceVersion[];
  /**
   * The version of all streams of a service that began within the last
   * `lifetimeMilliseconds` at any instance; null if there may be several.
   */
  findOnlyVersion(
    service: string,
    now: Instant,
    lifetimeMilliseconds: number,
  ): string | null;
  /**
   * Whether several versions of a service were listed within the last
   * `lifetimeMilliseconds`, or may still be published by an instance that has
   * ended.
   */
  hasSeveralVersions(
    service: string,
    now: Instant,
    lifetimeMilliseconds: number,
  ): boolean;
  /** Whether streams may begin at the version while others serve as well. */
  isEstablished(service: string, version: string, now: Instant): boolean;
}

interface SeenVersion {
  /** Null if it served before this instance read its first list. */
  readonly firstSeenAt: Instant | null;
  lastSeenAt: Instant;
}

/**
 * Streams begin at a new version only so long after it was first listed. The
 * lists that `findOnlyVersion` relies on are younger, so that they have each
 * version at which a stream has begun anywhere.
 */
const ESTABLISHED_MILLISECONDS = 2500;
const LIST_AGE_MILLISECONDS = 2000;
/**
 * A version that was not listed for this time, or for the longest time of a
 * stream if that is longer, is new if it comes back.
 */
const FORGET_MILLISECONDS = 300_000;

/** Lower bound of the time between two instants: the wall clock may jump. */
function getLeastElapsed(from: Instant, to: Instant): number {
  return to.monotonic - from.monotonic;
}

/**
 * Tracks which software versions of each service the endpoint lists had. Where
 * one version alone has served for longer than a stream can last, the version
 * that began a stream is known without a record of it. For the time before the
 * first list, what other instances have published takes the place of the lists.
 *
 * Designed for rolling releases, in which instances learn of a new version at
 * different times.
 *
 * @example
 *     const history = createVersionHistory();
 *     history.recordList(endpoints, readAt, now);
 *     history.findOnlyVersion('engines', now, 35_000); // 'v1.1'
 */
export function createVersionHistory(): VersionHistory {
  const services = new Map<string, Map<string, SeenVersion>>();
  let lastReadAt: Instant | null = null;
  let rememberedMilliseconds = FORGET_MILLISECONDS;
  /** Since when no two lists were too far apart. */
  let completeSince: Instant | null = null;
  /** The versions of the last list. */
  let listed = new Set<SeenVersion>();
  let publishedAt: Instant | null = null;
  const publishedVersions = new Map<string, Set<string>>();

  function isNew(
    {startedAt}: VersionedEndpoint,
    isFirstList: boolean,
    {wall}: Instant,
  ): boolean {
    return !isFirstList || wall - startedAt < ESTABLISHED_MILLISECONDS;
  }

  function forgetOld(now: Instant): void {
    for (const versions of services.values()) {
      for (const [version, {lastSeenAt}] of versions) {
        if (getLeastElapsed(lastSeenAt, now) > rememberedMilliseconds) {
          versions.delete(version);
        }
      }
    }
  }

  function listRecent(
    service: string,
    now: Instant,
    lifetimeMilliseconds: number,
  ): string[] {
    rememberedMilliseconds = Math.max(
      rememberedMilliseconds,
      lifetimeMilliseconds,
    );
    return [...(services.get(service) ?? [])].flatMap(
      ([version, {lastSeenAt}]) =>
        getLeastElapsed(lastSeenAt, now) <= lifetimeMilliseconds
          ? [version]
          : [],
    );
  }

  /** Published versions, if `publishedAt` is at most so long ago. */
  function listPublished(
    service: string,
    now: Instant,
    milliseconds: number,
  ): string[] {
    return publishedAt !== null &&
      getLeastElapsed(publishedAt, now) <= milliseconds
      ? [...(publishedVersions.get(service) ?? [])]
      : [];
  }

  /**
   * Whether the lists have each version at which streams began within the last
   * `lifetimeMilliseconds`, together with the published ones if need be.
   */
  function isComplete(
    service: string,
    now: Instant,
    lifetimeMilliseconds: number,
  ): boolean {
    if (completeSince === null) return false;
    if (getLeastElapsed(completeSince, now) >= lifetimeMilliseconds) {
      return true;
    }
    return (
      publishedAt !== null &&
      publishedVersions.has(service) &&
      getElapsed(publishedAt, completeSince) <= LIST_AGE_MILLISECONDS
    );
  }

  return {
    recordList(endpoints, readAt, now) {
      const isFirstList = lastReadAt === null;
      const isGap =
        lastReadAt === null ||
        getElapsed(lastReadAt, readAt) > LIST_AGE_MILLISECONDS;
      if (isGap) completeSince = readAt;
      lastReadAt = readAt;
      // Streams may have begun at the versions of the last list until now.
      for (const seen of listed) seen.lastSeenAt = now;
      listed = new Set();
      forgetOld(now);
      for (const endpoint of endpoints) {
        const {service, version} = endpoint;
        const versions =
          services.get(service) ?? new Map<string, SeenVersion>();
        services.set(service, versions);
        const seen = versions.get(version) ?? {
          firstSeenAt: isNew(endpoint, isFirstList, now) ? now : null,
          lastSeenAt: now,
        };
        seen.lastSeenAt = now;
        versions.set(version, seen);
        listed.add(seen);
      }
    },
    recordPublished(versions, readAt) {
      publishedAt = readAt;
      for (const {service, version} of versions) {
        const published = publishedVersions.get(service) ?? new Set();
        publishedVersions.set(service, published.add(version));
      }
    },
    listListed: (now, lifetimeMilliseconds) =>
      [...services.keys()].sort().flatMap((service) =>
        listRecent(service, now, lifetimeMilliseconds)
          .sort()
          .map((version) => ({service, version})),
      ),
    findOnlyVersion(service, now, lifetimeMilliseconds) {
      const [only, other] = new Set([
        ...listRecent(service, now, lifetimeMilliseconds),
        ...listPublished(service, now, lifetimeMilliseconds),
      ]);
      if (lastReadAt === null) return null;
      if (getElapsed(lastReadAt, now) > LIST_AGE_MILLISECONDS) return null;
      if (!isComplete(service, now, lifetimeMilliseconds)) return null;
      return only === undefined || only === '' || other !== undefined
        ? null
        : only;
    },
    hasSeveralVersions: (service, now, lifetimeMilliseconds) =>
      new Set([
        ...listRecent(service, now, lifetimeMilliseconds),
        ...listPublished(
          service,
          now,
          VERSION_KEEP_FACTOR * lifetimeMilliseconds,
        ),
      ]).size > 1,
    isEstablished(service, version, now) {
      const seen = services.get(service)?.get(version);
      if (seen === undefined) return false;
      return (
        seen.firstSeenAt === null ||
        getLeastElapsed(seen.firstSeenAt, now) >= ESTABLISHED_MILLISECONDS
      );
    },
  };
}
