import {getMemberState} from './getMemberState.ts';
import type {Member} from './member.ts';

interface SilentDomains {
  /** Failure domains whose members are all silent or lost. */
  readonly domains: readonly string[];
  /**
   * True if there are members and all are silent or lost: the link of this
   * process may be the cause.
   */
  readonly mayBeOwnLink: boolean;
}

/**
 * Finds the failure domains whose members are all silent or lost, by
 * `getMemberState`. Such a domain may be down or partitioned from this process.
 * If this applies to every domain, it may be this process that is partitioned.
 * A member that is leaving counts as responsive while it is connected.
 *
 * @param now monotonic milliseconds
 * @param silenceTimeoutMilliseconds time since `lastSeenAt` after which a
 *     member that is connected and not leaving counts as silent
 * @example
 *     findSilentDomains(members, now, 1500).mayBeOwnLink; // false
 */
export function findSilentDomains(
  members: Iterable<Member>,
  now: number,
  silenceTimeoutMilliseconds: number,
): SilentDomains {
  const responsive = new Map<string, boolean>();
  for (const member of members) {
    const {failureDomain} = member;
    const state = getMemberState(member, now, silenceTimeoutMilliseconds);
    const isUp = state === 'live' || state === 'leaving';
    responsive.set(
      failureDomain,
      isUp || (responsive.get(failureDomain) ?? false),
    );
  }
  const domains = [...responsive.keys()].filter(
    (domain) => !responsive.get(domain),
  );
  const mayBeOwnLink = domains.length > 0 && domains.length === responsive.size;
  return {domains, mayBeOwnLink};
}
