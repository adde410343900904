interface PieceTimeEstimator {
  /**
   * Estimates the time that one piece of a kind adds to a call, in
   * milliseconds.
   *
   * @param configured the configured time, returned before the first
   *     observation
   */
  get(kind: string, configured: number): number;
  /**
   * Updates the estimates from one completed call.
   *
   * @param kinds the kind of each piece in the call
   * @param configured the configured time of one piece in milliseconds
   * @param milliseconds measured time of the call beyond its fixed time
   */
  observe(
    kinds: readonly string[],
    configured: number,
    milliseconds: number,
  ): void;
}

/** Weight of one call in the moving averages, shared by its pieces. */
const SMOOTHING_FACTOR = 0.1;
/**
 * Bounds of the ratio of measured to expected time, so that an outlier changes
 * the estimates little.
 */
const MINIMUM_RATIO = 0.2;
const MAXIMUM_RATIO = 3;

/**
 * Estimates the time of a piece of each kind from the calls that computed such
 * pieces. A call shows only the time of all its pieces together, so each of its
 * pieces changes the estimate of its kind by the same factor.
 *
 * @example
 *     const estimator = createPieceTimeEstimator();
 *     estimator.observe(['report/0', 'report/0'], 16, 40);
 *     estimator.get('report/0', 16); // about 16.4
 */
export function createPieceTimeEstimator(): PieceTimeEstimator {
  const estimates = new Map<string, number>();
  const get = (kind: string, configured: number): number =>
    estimates.get(kind) ?? configured;
  return {
    get,
    observe(kinds, configured, milliseconds) {
      const expected = kinds.reduce(
        (sum, kind) => sum + get(kind, configured),
        0,
      );
      const ratio = Math.min(
        MAXIMUM_RATIO,
        Math.max(MINIMUM_RATIO, milliseconds / Math.max(expected, 1)),
      );
      const share = SMOOTHING_FACTOR / kinds.length;
      for (const kind of kinds) {
        estimates.set(kind, get(kind, configured) * (1 + share * (ratio - 1)));
      }
    },
  };
}
