import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {getOrCreateLatencyRow} from './load/getOrCreateLatencyRow.ts';

/**
 * Removes an attempt and no longer counts it as in flight at its endpoint.
 *
 * @example
 *     removeAttempt(state, attempt);
 *     state.attempts.get(attempt.attemptId); // undefined
 */
export function removeAttempt(
  state: EntryState,
  attempt: EntryRows['attempt'],
): void {
  state.attempts.remove(attempt.attemptId);
  const endpoint = state.endpoints.get(attempt.endpoint);
  if (endpoint === undefined) return;
  endpoint.inFlight -= 1;
  getOrCreateLatencyRow(state.load, endpoint.name).endedSinceReport += 1;
}
