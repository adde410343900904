import type {EndpointRows} from './endpointRows.ts';
import type {EndpointState} from './endpointState.ts';

/**
 * Has the backend cancel an attempt that it works on.
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
