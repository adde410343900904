import type {Slope} from './slope.ts';

/**
 * Fits a line through measured points by least squares.
 *
 * @example
 *     fitSlope({name: 'entry', sizeUnit: 'peer', valueUnit: 'KB/s', points});
 */
export function fitSlope(measured: Omit<Slope, 'intercept' | 'slope'>): Slope {
  const {points} = measured;
  const count = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {size, value} of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {...measured, slope, intercept: meanValue - slope * meanSize};
}
