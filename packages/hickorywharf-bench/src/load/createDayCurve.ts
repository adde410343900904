interface DayCurveOptions {
  /** Length of the compressed day. */
  readonly seconds: number;
  readonly meanPerSecond: number;
  /** Number of phases that approximate the curve. */
  readonly steps: number;
}

/** Deviation of the peak and of the night from the mean, relative to it. */
const RELATIVE_AMPLITUDE = 0.6;

/**
 * Creates the phases of a compressed day, whose rate follows a cosine from the
 * night's minimum to the peak and back.
 *
 * @example
 *     createDayCurve({seconds: 24, meanPerSecond: 50, steps: 24});
 */
export function createDayCurve(
  options: DayCurveOptions,
): {seconds: number; ratePerSecond: number}[] {
  const {seconds, meanPerSecond, steps} = options;
  return Array.from({length: steps}, (_, step) => {
    const angle = (2 * Math.PI * (step + 0.5)) / steps;
    const ratePerSecond =
      meanPerSecond * (1 - RELATIVE_AMPLITUDE * Math.cos(angle));
    return {seconds: seconds / steps, ratePerSecond};
  });
}
