import type {EntryState} from '../entryState.ts';
import {getLatencyRow} from './getLatencyRow.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Ejects an endpoint from its pool, for twice as long as the last time up to a
 * maximum, and puts it on probation afterwards.
 *
 * @example
 *     ejectEndpoint(state, 'engine-1', now);
 */
export function ejectEndpoint(
  state: EntryState,
  name: string,
  now: number,
): void {
  const speed = getLatencyRow(state.load, name);
  const {ejectionMilliseconds, maximumEjectionMilliseconds} = LOAD_LIMITS;
  const duration = ejectionMilliseconds * 2 ** speed.ejections;
  speed.ejectedUntil = now + Math.min(duration, maximumEjectionMilliseconds);
  speed.ejections += 1;
  speed.isOnProbation = true;
  speed.samples = 0;
  speed.slowness = 1;
}
