import {findSilentDomains} from './findSilentDomains.ts';
import {getMemberState} from './getMemberState.ts';
import type {Member} from './member.ts';
import type {memberStates} from './memberStates.ts';

interface Membership {
  readonly members: readonly {
    readonly name: string;
    readonly failureDomain: string;
    readonly state: keyof typeof memberStates;
  }[];
  /** Failure domains of which nobody can be heard from here. */
  readonly silentDomains: readonly string[];
  /** True where nobody at all can be heard: it may be this process's link. */
  readonly mayBeOwnLink: boolean;
}

/**
 * The other processes as this one has observed them, for operators.
 *
 * @param now monotonic milliseconds
 * @example
 *     describeMembers(members, now, 1500).silentDomains;
 */
export function describeMembers(
  members: readonly Member[],
  now: number,
  silenceMilliseconds: number,
): Membership {
  const silent = findSilentDomains(members, now, silenceMilliseconds);
  return {
    members: members.map((member) => ({
      name: member.name,
      failureDomain: member.failureDomain,
      state: getMemberState(member, now, silenceMilliseconds),
    })),
    silentDomains: silent.domains,
    mayBeOwnLink: silent.mayBeOwnLink,
  };
}
