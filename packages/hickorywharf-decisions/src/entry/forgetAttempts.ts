import type {EntryState} from './entryState.ts';
import {removeAttempt} from './removeAttempt.ts';

/**
 * Cancels the attempts of a request that are still out.
 *
 * @example
 *     forgetAttempts(state, request.requestId);
 */
export function forgetAttempts(state: EntryState, requestId: string): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.requestId !== requestId) continue;
    const {stageIndex, attemptId, endpoint} = attempt;
    removeAttempt(state, attempt);
    state.commands.push({
      tag: 'send',
      endpoint,
      frame: {tag: 'cancel', requestId, stageIndex, attemptId},
    });
  }
}
