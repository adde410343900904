import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryState} from './entryState.ts';

/**
 * Records the time of a tick. After a pause of this process, the times at which
 * endpoints were last seen are moved forward by the pause, since their silence
 * during it says nothing about them.
 *
 * @example
 *     recordTick(state, now);
 *     state.lastTickAt; // now
 */
export function recordTick(state: EntryState, now: number): void {
  const pause = state.lastTickAt === null ? 0 : now - state.lastTickAt;
  state.lastTickAt = now;
  if (pause < ENTRY_LIMITS.processPauseMilliseconds) return;
  for (const endpoint of state.endpoints.rows()) {
    endpoint.lastSeenAt = Math.min(now, endpoint.lastSeenAt + pause);
  }
}
