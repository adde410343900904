import {cancelAttempt} from './cancelAttempt.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';

/**
 * Cancels the superseded attempts of a request that have not ended.
 *
 * @example
 *     cancelSupersededAttempts(state, request);
 */
export function cancelSupersededAttempts(
  state: EntryState,
  {requestId}: EntryRows['request'],
): void {
  for (const attempt of state.attempts.rows()) {
    const isSuperseded =
      attempt.requestId === requestId && attempt.state === 'superseded';
    if (isSuperseded) cancelAttempt(state, attempt);
  }
}
