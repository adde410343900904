import type {Member} from './member.ts';
import {memberStates} from './memberStates.ts';

/**
 * The state of another process as this one observes it. Two processes may
 * observe different states, so no guarantee depends on it.
 *
 * @param now monotonic milliseconds
 * @param silenceTimeoutMilliseconds time without a frame after which a member
 *     that is connected counts as unresponsive
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
