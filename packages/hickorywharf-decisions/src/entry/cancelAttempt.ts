import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {removeAttempt} from './removeAttempt.ts';

/**
 * Removes an attempt and has its endpoint process cancel it, including the
 * backend call. While the connection is down the frame is lost, and the
 * endpoint process cancels the attempt by itself.
 *
 * @example
 *     cancelAttempt(state, attempt);
 *     state.commands.at(-1); // {tag: 'send', endpoint: 'desk-1', frame}
 */
export function cancelAttempt(
  state: EntryState,
  attempt: EntryRows['attempt'],
): void {
  removeAttempt(state, attempt);
  const {requestId, stageIndex, attemptId, endpoint} = attempt;
  state.commands.push({
    tag: 'send',
    endpoint,
    frame: {tag: 'cancel', requestId, stageIndex, attemptId},
  });
}
