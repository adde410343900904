import type {EntryState} from '../entryState.ts';
import {getOrCreateLatencyRow} from './getOrCreateLatencyRow.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Ejects an endpoint from its pool, for twice as long as the last time up to a
 * maximum, and puts it on probation afterwards.
 *
 * @example
 *     ejectEndpoint(state, 'engine-1', now); // for 5 seconds at first
 */
export function ejectEndpoint(
  state: EntryState,
  name: string,
  now: number,
): void {
  const latency = getOrCreateLatencyRow(state.load, name);
  const {ejectionMilliseconds, maximumEjectionMilliseconds} = LOAD_LIMITS;
  const duration = ejectionMilliseconds * 2 ** latency.ejections;
  latency.ejectedUntil = now + Math.min(duration, maximumEjectionMilliseconds);
  latency.ejections += 1;
  latency.isOnProbation = true;
  latency.samples = 0;
  latency.slowness = 1;
}
