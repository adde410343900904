import type {EndpointRows} from './endpointRows.ts';
import type {EndpointState} from './endpointState.ts';

/**
 * Requests the cancellation of an attempt that runs on the backend. Does
 * nothing if it does not run or if its cancellation was requested before.
 *
 * @example
 *     cancelAttempt(state, attempt);
 */
export function cancelAttempt(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
): void {
  if (attempt.state !== 'running' || attempt.cancelled) return;
  attempt.cancelled = true;
  const {attemptId} = attempt;
  state.commands.push({tag: 'cancelBackend', attemptId});
}
