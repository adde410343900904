import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

type EndingFrame = NonNullable<EndpointRows['attempt']['ending']>;

/**
 * Finds the ending of an attempt. If the row of an action's attempt was evicted,
 * the ending comes from the row of the action. If that row was evicted too or
 * has no ending, the ending is `failed` with the outcome `unknown`. Null if the
 * attempt has no ending yet or is not known.
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
    message: 'The action started, and its outcome is no longer retained.',
  };
}
