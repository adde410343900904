import {build} from 'hdr-histogram-js';

/** Percentiles in milliseconds. */
interface Quantiles {
  /** 50th percentile. */
  readonly median: number;
  /** 95th percentile. */
  readonly percentile95: number;
  /** 99th percentile. */
  readonly percentile99: number;
}

const MAXIMUM_MICROSECONDS = 600_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;

/**
 * Computes percentiles of times from a histogram, to three significant digits.
 *
 * @param milliseconds times of at most ten minutes; negative ones count as 0
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
    histogram.recordValue(
      Math.max(0, Math.round(time * MICROSECONDS_PER_MILLISECOND)),
    );
  }
  const read = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {median: read(50), percentile95: read(95), percentile99: read(99)};
}
