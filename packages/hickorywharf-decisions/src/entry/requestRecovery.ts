import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';

/**
 * Requests what the endpoint process has of an attempt, from the next token on,
 * unless that was requested since the last new tokens.
 *
 * @example
 *     requestRecovery(state, attempt);
 *     state.commands.at(-1); // {tag: 'send', endpoint: 'engine-1', frame}
 */
export function requestRecovery(
  state: EntryState,
  attempt: EntryRows['attempt'],
): void {
  if (attempt.recoverSent) return;
  attempt.recoverSent = true;
  const {requestId, stageIndex, attemptId, nextPosition} = attempt;
  state.commands.push({
    tag: 'send',
    endpoint: attempt.endpoint,
    frame: {
      tag: 'recover',
      requestId,
      stageIndex,
      attemptId,
      fromPosition: nextPosition,
    },
  });
}
