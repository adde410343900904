import {getMemberState} from './getMemberState.ts';
import type {Member} from './member.ts';

interface SilentDomains {
  /** Failure domains of which no member can be heard. */
  readonly domains: readonly string[];
  /** True where that may be this process's own link: it hears nobody at all. */
  readonly mayBeOwnLink: boolean;
}

/**
 * The failure domains that seem wholly dead. One may be dead or cut off from
 * here; where all of them are silent it is this process that is cut off, so
 * far as it can know.
 *
 * @example
 *     findSilentDomains(members, now, 1500).mayBeOwnLink;
 */
export function findSilentDomains(
  members: Iterable<Member>,
  now: number,
  silenceMilliseconds: number,
): SilentDomains {
  const isHeard = new Map<string, boolean>();
  for (const member of members) {
    const {failureDomain} = member;
    const state = getMemberState(member, now, silenceMilliseconds);
    const isUp = state === 'live' || state === 'leaving';
    isHeard.set(failureDomain, isUp || (isHeard.get(failureDomain) ?? false));
  }
  const domains = [...isHeard.keys()].filter((domain) => !isHeard.get(domain));
  const mayBeOwnLink = domains.length > 0 && domains.length === isHeard.size;
  return {domains, mayBeOwnLink};
}
