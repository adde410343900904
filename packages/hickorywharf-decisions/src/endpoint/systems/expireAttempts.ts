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
  // An attempt without a key is idempotent and has no action: '' matches none.
  const action = state.actions.get(frame.idempotencyKey ?? '');
  const runsAction = action?.attemptId === attempt.attemptId;
  // A joined attempt may have a later deadline, so the action stays queued past
  // the deadline of the attempt that is to run it.
  if (runsAction && action.joined.length > 0) return;
  // The action did not run, so a retry with its key may be accepted.
  if (!frame.idempotent) state.actions.remove(frame.idempotencyKey ?? '');
  endAttempt(state, attempt, createRefusal(frame, 'cannotFinish'), now);
}

/**
 * Refuses attempts that have waited past their deadline for a slot or a claim,
 * and cancels idempotent attempts that run past it. A waiting action that other
 * attempts have joined stays, as do the joined attempts and every action that
 * has started.
 *
 * @param now monotonic milliseconds
 * @example
 *     expireAttempts(state, now);
 */
export function expireAttempts(state: EndpointState, now: number): void {
  for (const attempt of [...state.attempts.rows()]) {
    if (attempt.deadlineAt > now) continue;
    const isWaiting =
      attempt.state === 'queued' || attempt.state === 'claiming';
    if (isWaiting) refuseExpired(state, attempt, now);
    // Has no effect on an attempt that was refused above or has finished.
    if (attempt.frame.idempotent) cancelAttempt(state, attempt);
  }
}
