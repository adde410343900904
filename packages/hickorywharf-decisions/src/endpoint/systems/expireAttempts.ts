import {cancelAttempt} from '../cancelAttempt.ts';
import {createRefusal} from '../createRefusal.ts';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

function refuseLate(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {frame} = attempt;
  const action = state.actions.get(frame.idempotencyKey ?? '');
  // Another request waits for the same action and may have a later deadline.
  const isOwn = action?.attemptId === attempt.attemptId;
  if (isOwn && action.joined.length > 0) return;
  if (!frame.idempotent) state.actions.remove(frame.idempotencyKey ?? '');
  endAttempt(state, attempt, createRefusal(frame, 'cannotFinish'), now);
}

/**
 * Refuses what waited past its deadline and cancels, at the backend too, what
 * is already late. An action that has begun is left to finish.
 *
 * @example
 *     expireAttempts(state, now);
 */
export function expireAttempts(state: EndpointState, now: number): void {
  for (const attempt of [...state.attempts.rows()]) {
    if (attempt.deadlineAt > now) continue;
    const isWaiting =
      attempt.state === 'queued' || attempt.state === 'claiming';
    if (isWaiting) refuseLate(state, attempt, now);
    if (attempt.frame.idempotent) cancelAttempt(state, attempt);
  }
}
