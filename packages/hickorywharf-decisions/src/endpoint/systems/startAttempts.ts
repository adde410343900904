import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {queuePolicies} from '../policies/queuePolicies.ts';

function pickNext(
  state: EndpointState,
  now: number,
): EndpointRows['attempt'] | null {
  const getRank = queuePolicies[state.queueOrder]!;
  let next: EndpointRows['attempt'] | null = null;
  let least = Infinity;
  for (const attempt of state.attempts.rows()) {
    if (attempt.state !== 'queued') continue;
    const rank = getRank(attempt, now);
    if (rank >= least) continue;
    least = rank;
    next = attempt;
  }
  return next;
}

/**
 * Starts waiting attempts while the backend has slots.
 *
 * @example
 *     startAttempts(state, now);
 */
export function startAttempts(state: EndpointState, now: number): void {
  while (state.running < state.slots && state.queued > 0) {
    const attempt = pickNext(state, now);
    if (attempt === null) return;
    attempt.state = 'running';
    attempt.startedAt = now;
    state.queued -= 1;
    state.running += 1;
    const action = state.actions.get(attempt.frame.idempotencyKey ?? '');
    if (action?.attemptId === attempt.attemptId) action.state = 'running';
    state.commands.push({
      tag: 'startBackend',
      attempt: attempt.frame,
      remainingMilliseconds: attempt.deadlineAt - now,
    });
  }
}
