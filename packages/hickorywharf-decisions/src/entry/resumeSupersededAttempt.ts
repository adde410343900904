import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {findSupersededAttempt} from './findSupersededAttempt.ts';
import {getCurrentStage} from './getCurrentStage.ts';
import {requestRecovery} from './requestRecovery.ts';

/**
 * Makes a request wait again for a superseded attempt of its current stage.
 * Tokens that arrived in the meantime were not used, so they are requested
 * again. Returns false, and changes nothing, if there is no such attempt.
 *
 * @example
 *     resumeSupersededAttempt(state, request);
 *     request.phase; // 'waiting' if it returned true
 */
export function resumeSupersededAttempt(
  state: EntryState,
  request: EntryRows['request'],
): boolean {
  const attempt = findSupersededAttempt(state, request);
  if (attempt === undefined) return false;
  attempt.state = 'sent';
  request.phase = 'waiting';
  request.currentAttemptId = attempt.attemptId;
  attempt.hasTokens = false;
  if (getCurrentStage(request).kind === 'generate') {
    attempt.recoverSent = false;
    requestRecovery(state, attempt);
  }
  return true;
}
