import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {getWorkUnits} from './getWorkUnits.ts';
import {QUEUE_LIMITS} from './queueLimits.ts';

/**
 * Updates the moving average of the backend time of a work unit with an attempt
 * that has finished.
 *
 * @param now monotonic milliseconds
 * @example
 *     updateUnitTime(state, attempt, now);
 */
export function updateUnitTime(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {unitMilliseconds} = state.schedulerState;
  const {kind} = attempt.frame;
  const sample = (now - attempt.startedAt) / getWorkUnits(attempt);
  const known = unitMilliseconds.get(kind) ?? sample;
  const change = (sample - known) * QUEUE_LIMITS.sampleWeight;
  unitMilliseconds.set(kind, known + change);
}
