import {getMemberState} from './getMemberState.ts';
import type {Member} from './member.ts';

interface SilentDomains {
  /** Failure domains without any responsive member. */
  readonly domains: readonly string[];
  /**
   * True if there are members and none responds: the link of this process may
   * be the cause.
   */
  readonly mayBeOwnLink: boolean;
}

/**
 * Finds the failure domains without any responsive member. Such a domain may be
 * down or partitioned from this process. If there is no responsive member in
 * any domain, it is probably this process that is partitioned. A member that is
 * leaving counts as responsive while it is connected.
 *
 * @param now monotonic milliseconds
 * @param silenceTimeoutMilliseconds time without a frame after which a member
 *     that is connected and not leaving counts as unresponsive
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
