import {build} from 'hdr-histogram-js';

interface Quantiles {
  readonly median: number;
  readonly high: number;
  readonly highest: number;
}

const MAXIMUM_MICROSECONDS = 600_000_000;
const MICROSECONDS = 1000;

/**
 * The 50th, 95th and 99th percentiles of times, from a histogram.
 *
 * @example
 *     getQuantiles([1, 2, 3]).median; // 2
 */
export function getQuantiles(milliseconds: Iterable<number>): Quantiles {
  const histogram = build({
    highestTrackableValue: MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
  for (const time of milliseconds) {
    histogram.recordValue(Math.max(0, Math.round(time * MICROSECONDS)));
  }
  const read = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return {median: read(50), high: read(95), highest: read(99)};
}
