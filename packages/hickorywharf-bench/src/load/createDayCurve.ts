interface DayCurveOptions {
  readonly seconds: number;
  readonly meanPerSecond: number;
  /** Steps that the curve is cut into. */
  readonly steps: number;
}

/** How far the peak and the night lie from the mean. */
const SWING = 0.6;

/**
 * The phases of a day in short: from the night's rate to the peak and back.
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
    const ratePerSecond = meanPerSecond * (1 - SWING * Math.cos(angle));
    return {seconds: seconds / steps, ratePerSecond};
  });
}
