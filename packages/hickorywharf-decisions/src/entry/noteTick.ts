import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryState} from './entryState.ts';

/**
 * Takes note of a tick. Where this process itself stood still, the silence of
 * its peers meanwhile says nothing about them.
 *
 * @example
 *     noteTick(state, now);
 */
export function noteTick(state: EntryState, now: number): void {
  const pause = state.tickedAt === null ? 0 : now - state.tickedAt;
  state.tickedAt = now;
  if (pause < ENTRY_LIMITS.ownPauseMilliseconds) return;
  for (const endpoint of state.endpoints.rows()) {
    endpoint.heardAt = Math.min(now, endpoint.heardAt + pause);
  }
}
