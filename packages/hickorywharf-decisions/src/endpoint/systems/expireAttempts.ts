import {cancelAttempt} from '../cancelAttempt.ts';
import {createRefusal} from '../createRefusal.ts';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

function refuseExpired(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {frame} = attempt;
  const action = state.actions.get(frame.idempotencyKey ?? '');
  // Another request awaits the same action and may have a later deadline.
  const isOwn = action?.attemptId === attempt.attemptId;
  if (isOwn && action.joined.length > 0) return;
  if (!frame.idempotent) state.actions.remove(frame.idempotencyKey ?? '');
  endAttempt(state, attempt, createRefusal(frame, 'cannotFinish'), now);
}

/**
 * Refuses attempts that waited past their deadline, and cancels idempotent ones
 * that run past it. An action that has started is left to finish.
 *
 * @example
 *     expireAttempts(state, now);
 */
export function expireAttempts(state: EndpointState, now: number): void {
  for (const attempt of [...state.attempts.rows()]) {
    if (attempt.deadlineAt > now) continue;
    const isWaiting =
      attempt.state === 'queued' || attempt.state === 'claiming';
    if (isWaiting) refuseExpired(state, attempt, now);
    if (attempt.frame.idempotent) cancelAttempt(state, attempt);
  }
}
