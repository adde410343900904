import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Whether an endpoint gets no work for being slow. After its ejection it is
 * tried with one attempt at a time until that ends well.
 *
 * @example
 *     isEjected(state, endpoint, now);
 */
export function isEjected(
  state: EntryState,
  endpoint: EntryRows['endpoint'],
  now: number,
): boolean {
  const speed = state.load.latencies.get(endpoint.name);
  if (speed === undefined) return false;
  if (speed.ejectedUntil > now) return true;
  return speed.isOnProbation && endpoint.inFlight > 0;
}
