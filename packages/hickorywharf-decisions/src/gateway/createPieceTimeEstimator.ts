interface PieceTimes {
  /**
   * Time of a piece of a kind within a call, in milliseconds.
   *
   * @param usual what is stated of the kind's service
   */
  get(kind: string, usual: number): number;
  /** Learns from a call: the kinds of its pieces, and its time beyond the call's own. */
  observe(kinds: readonly string[], usual: number, took: number): void;
}

/** Weight of a call's time in what is known of its pieces' times. */
const LEARNING_WEIGHT = 0.1;
/** One call changes what is believed of its pieces by no more. */
const MINIMUM_FACTOR = 0.2;
const MAXIMUM_FACTOR = 3;

/**
 * How long pieces of each kind take, learnt from the calls that made them.
 *
 * @example
 *     const times = createPieceTimeEstimator();
 *     times.learn(['report/0', 'report/0'], 16, 40);
 *     times.get('report/0', 16);
 */
export function createPieceTimeEstimator(): PieceTimes {
  const known = new Map<string, number>();
  const get = (kind: string, usual: number): number => known.get(kind) ?? usual;
  return {
    get,
    observe(kinds, usual, took) {
      const expected = kinds.reduce((sum, kind) => sum + get(kind, usual), 0);
      const factor = Math.min(
        MAXIMUM_FACTOR,
        Math.max(MINIMUM_FACTOR, took / Math.max(expected, 1)),
      );
      const share = LEARNING_WEIGHT / kinds.length;
      for (const kind of kinds) {
        known.set(kind, get(kind, usual) * (1 + share * (factor - 1)));
      }
    },
  };
}
