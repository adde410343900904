import {cancelAttempt} from './cancelAttempt.ts';
import type {EntryState} from './entryState.ts';

/**
 * Cancels the attempts of a request that are still out.
 *
 * @example
 *     forgetAttempts(state, request.requestId);
 */
export function cancelAttempts(state: EntryState, requestId: string): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.requestId === requestId) cancelAttempt(state, attempt);
  }
}
