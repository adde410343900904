import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Takes a sample into a smoothed value; the first sample is the value.
 *
 * @example
 *     smooth(undefined, 40); // 40
 */
export function updateMovingAverage(
  known: number | undefined,
  sample: number,
): number {
  if (known === undefined) return sample;
  return known + (sample - known) * LOAD_LIMITS.sampleWeight;
}
