import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';

/**
 * Finds an attempt of the current stage of a request that was superseded, has
 * not ended, and lacks none of the tokens that were used.
 *
 * @example
 *     findSupersededAttempt(state, request)?.endpoint; // 'engine-1'
 */
export function findSupersededAttempt(
  state: EntryState,
  request: EntryRows['request'],
): EntryRows['attempt'] | undefined {
  for (const attempt of state.attempts.rows()) {
    const isSuperseded =
      attempt.requestId === request.requestId &&
      attempt.stageIndex === request.stageIndex &&
      attempt.state === 'superseded' &&
      attempt.nextPosition === request.tokens.length;
    if (isSuperseded) return attempt;
  }
  return undefined;
}
