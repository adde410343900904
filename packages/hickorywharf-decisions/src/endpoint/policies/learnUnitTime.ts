import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {getWorkUnits} from './getWorkUnits.ts';
import {QUEUE_LIMITS} from './queueLimits.ts';

/**
 * Learns what a work unit takes from an attempt that finished.
 *
 * @example
 *     learnUnitTime(state, attempt, now);
 */
export function learnUnitTime(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {unitMilliseconds} = state.queueMemory;
  const {kind} = attempt.frame;
  const sample = (now - attempt.startedAt) / getWorkUnits(attempt);
  const known = unitMilliseconds.get(kind) ?? sample;
  const change = (sample - known) * QUEUE_LIMITS.sampleWeight;
  unitMilliseconds.set(kind, known + change);
}
