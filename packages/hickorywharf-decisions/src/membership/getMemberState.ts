import type {Member} from './member.ts';
import {memberStates} from './memberStates.ts';

/**
 * Gets the state of another process as the calling process has observed it. Two
 * processes may observe different states, so no guarantee depends on the state.
 *
 * @param now monotonic milliseconds
 * @param silenceTimeoutMilliseconds time since `lastSeenAt` after which a
 *     member that is connected and not leaving counts as silent
 * @example
 *     getMemberState(member, now, 1500); // 'live'
 */
export function getMemberState(
  member: Member,
  now: number,
  silenceTimeoutMilliseconds: number,
): keyof typeof memberStates {
  if (!member.connected) return memberStates.lost;
  if (member.leaving) return memberStates.leaving;
  const isSilent = now - member.lastSeenAt > silenceTimeoutMilliseconds;
  return isSilent ? memberStates.silent : memberStates.live;
}
