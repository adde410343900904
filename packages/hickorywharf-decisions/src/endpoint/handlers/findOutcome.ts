import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

type EndingFrame = NonNullable<EndpointRows['attempt']['ending']>;

/**
 * The outcome of an attempt, also where the attempt's own row was forgotten
 * and the action that it began is still remembered by its key. Null while it
 * has none.
 *
 * @example
 *     findOutcome(state, {requestId, stageIndex, attemptId})?.tag; // 'result'
 */
export function findOutcome(
  state: EndpointState,
  key: AttemptKey,
): EndingFrame | null {
  const {requestId, stageIndex, attemptId} = key;
  const attempt = state.attempts.get(attemptId);
  if (attempt !== undefined) return attempt.ending;
  const begun = state.begunActions.get(attemptId);
  if (begun === undefined) return null;
  const ending = state.actions.get(begun.idempotencyKey)?.ending ?? null;
  if (ending !== null) return {...ending, requestId, stageIndex, attemptId};
  return {
    tag: 'failed',
    requestId,
    stageIndex,
    attemptId,
    outcome: 'unknown',
    conflict: false,
    message: 'The action began and its outcome is no longer remembered.',
  };
}
