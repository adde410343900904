import {cancelAttempt} from './cancelAttempt.ts';
import type {EntryState} from './entryState.ts';

/**
 * Cancels all attempts of a request that have not ended.
 *
 * @example
 *     cancelAttempts(state, 'request-7');
 */
export function cancelAttempts(state: EntryState, requestId: string): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.requestId === requestId) cancelAttempt(state, attempt);
  }
}
