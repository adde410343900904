import type {EntryState} from '../entryState.ts';
import {getLatencyRow} from './getLatencyRow.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Takes an endpoint out of its pool, for twice as long as the last time, and
 * has it tried afterwards.
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
  const pause = ejectionMilliseconds * 2 ** speed.ejections;
  speed.ejectedUntil = now + Math.min(pause, maximumEjectionMilliseconds);
  speed.ejections += 1;
  speed.isOnProbation = true;
  speed.samples = 0;
  speed.slowness = 1;
}
