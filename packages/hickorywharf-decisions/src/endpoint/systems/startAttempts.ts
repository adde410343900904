import type {EndpointState} from '../endpointState.ts';
import {queuePolicies} from '../policies/queuePolicies.ts';

/**
 * Starts queued attempts, in the order of the queue policy, while the backend
 * has free slots and the policy allows another attempt to start.
 *
 * @param now monotonic milliseconds
 * @example
 *     startAttempts(state, now);
 */
export function startAttempts(state: EndpointState, now: number): void {
  while (state.running < state.slots && state.queued > 0) {
    const attempt = queuePolicies[state.queueOrder]!.pick(state, now);
    if (attempt === null) return;
    attempt.state = 'running';
    attempt.startedAt = now;
    state.queued -= 1;
    state.running += 1;
    // An attempt without a key is idempotent and has no action: '' matches none.
    const action = state.actions.get(attempt.frame.idempotencyKey ?? '');
    if (action?.attemptId === attempt.attemptId) action.state = 'running';
    state.commands.push({
      tag: 'startBackend',
      attempt: attempt.frame,
      remainingMilliseconds: attempt.deadlineAt - now,
    });
  }
}
