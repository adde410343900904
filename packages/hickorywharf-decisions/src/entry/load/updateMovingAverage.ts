import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Returns an exponential moving average after a sample. The first sample is the
 * average.
 *
 * @example
 *     updateMovingAverage(undefined, 40); // 40
 */
export function updateMovingAverage(
  known: number | undefined,
  sample: number,
): number {
  if (known === undefined) return sample;
  return known + (sample - known) * LOAD_LIMITS.sampleWeight;
}
