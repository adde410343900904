import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {removeAttempt} from './removeAttempt.ts';

/**
 * Gives an attempt up and has its endpoint process cancel it, down to the
 * backend. While the connection is down the frame is lost, and the endpoint
 * process withdraws the attempt by itself.
 *
 * @example
 *     cancelAttempt(state, attempt);
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
