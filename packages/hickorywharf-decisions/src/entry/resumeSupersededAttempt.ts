import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';

/**
 * Makes a request wait again for a superseded attempt of its current stage.
 * Returns false, and changes nothing, if there is none.
 *
 * @example
 *     resumeSupersededAttempt(state, request);
 *     request.phase; // 'waiting' if it returned true
 */
export function resumeSupersededAttempt(
  state: EntryState,
  request: EntryRows['request'],
): boolean {
  for (const attempt of state.attempts.rows()) {
    const isWaitedFor =
      attempt.requestId === request.requestId &&
      attempt.stageIndex === request.stageIndex &&
      attempt.state === 'superseded';
    if (!isWaitedFor) continue;
    attempt.state = 'sent';
    request.phase = 'waiting';
    request.currentAttemptId = attempt.attemptId;
    return true;
  }
  return false;
}
