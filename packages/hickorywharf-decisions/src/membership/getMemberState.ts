import type {Member} from './member.ts';
import {memberStates} from './memberStates.ts';

/**
 * What this process makes of another. It is an observation: two processes may
 * differ, and nothing that must be safe depends on it.
 *
 * @param silenceMilliseconds time without a frame after which it is silent
 * @example
 *     getMemberState(member, now, 1500); // 'live'
 */
export function getMemberState(
  member: Member,
  now: number,
  silenceMilliseconds: number,
): keyof typeof memberStates {
  if (!member.connected) return memberStates.lost;
  if (member.leaving) return memberStates.leaving;
  const isSilent = now - member.lastSeenAt > silenceMilliseconds;
  return isSilent ? memberStates.silent : memberStates.live;
}
