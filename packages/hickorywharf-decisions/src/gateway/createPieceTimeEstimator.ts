interface PieceTimeEstimator {
  /**
   * Estimated time of one piece of a kind within a call, in milliseconds.
   *
   * @param usual the configured time, used until the first observation
   */
  get(kind: string, usual: number): number;
  /**
   * Updates the estimates from one completed call.
   *
   * @param kinds the kind of each piece in the call
   * @param took milliseconds of the call beyond its fixed time
   */
  observe(kinds: readonly string[], usual: number, took: number): void;
}

/** Weight of one call in the moving averages of its pieces. */
const SMOOTHING_FACTOR = 0.1;
/** Bounds of measured to expected time, so that outliers change little. */
const MINIMUM_FACTOR = 0.2;
const MAXIMUM_FACTOR = 3;

/**
 * Estimates the time of a piece of each kind from the calls that computed them.
 *
 * @example
 *     const estimator = createPieceTimeEstimator();
 *     estimator.observe(['report/0', 'report/0'], 16, 40);
 *     estimator.get('report/0', 16);
 */
export function createPieceTimeEstimator(): PieceTimeEstimator {
  const estimates = new Map<string, number>();
  const get = (kind: string, usual: number): number =>
    estimates.get(kind) ?? usual;
  return {
    get,
    observe(kinds, usual, took) {
      const expected = kinds.reduce((sum, kind) => sum + get(kind, usual), 0);
      const factor = Math.min(
        MAXIMUM_FACTOR,
        Math.max(MINIMUM_FACTOR, took / Math.max(expected, 1)),
      );
      const share = SMOOTHING_FACTOR / kinds.length;
      for (const kind of kinds) {
        estimates.set(kind, get(kind, usual) * (1 + share * (factor - 1)));
      }
    },
  };
}
