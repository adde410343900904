import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Whether an endpoint counts as ejected because it is slow. On probation after
 * an ejection, it also counts as ejected while this entry has an attempt in
 * flight there, so that it gets one attempt at a time until one is fast enough.
 *
 * @example
 *     isEjected(state, endpoint, now); // true until `ejectedUntil`
 */
export function isEjected(
  state: EntryState,
  endpoint: EntryRows['endpoint'],
  now: number,
): boolean {
  const latency = state.load.latencies.get(endpoint.name);
  if (latency === undefined) return false;
  if (latency.ejectedUntil > now) return true;
  return latency.isOnProbation && endpoint.inFlight > 0;
}
