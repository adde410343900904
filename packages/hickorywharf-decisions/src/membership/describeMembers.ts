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
  /** Failure domains whose members are all silent or lost. */
  readonly silentDomains: readonly string[];
  /**
   * True if there are members and all are silent or lost: the link of this
   * process may be the cause.
   */
  readonly mayBeOwnLink: boolean;
}

/**
 * Describes for operators the state of other processes, as the describing
 * process has observed them.
 *
 * @param now monotonic milliseconds
 * @param silenceTimeoutMilliseconds time since `lastSeenAt` after which a
 *     member that is connected and not leaving counts as silent
 * @example
 *     describeMembers(members, now, 1500).silentDomains; // ['domain-b']
 */
export function describeMembers(
  members: readonly Member[],
  now: number,
  silenceTimeoutMilliseconds: number,
): Membership {
  const silent = findSilentDomains(members, now, silenceTimeoutMilliseconds);
  return {
    members: members.map((member) => ({
      name: member.name,
      failureDomain: member.failureDomain,
      state: getMemberState(member, now, silenceTimeoutMilliseconds),
    })),
    silentDomains: silent.domains,
    mayBeOwnLink: silent.mayBeOwnLink,
  };
}
