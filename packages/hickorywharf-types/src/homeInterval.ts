/**
 * The right to run actions of one part of a pool's key space, for keys issued
 * in `[from, until)`. Successive intervals of a part are disjoint.
 */
export interface HomeInterval {
  readonly pool: string;
  readonly part: number;
  /** The half whose requests the interval is for; null for shared ones. */
  readonly half: string | null;
  /** Name of the endpoint that is home. */
  readonly home: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Milliseconds of issue time, inclusive. */
  readonly from: number;
  /** Milliseconds of issue time, exclusive. */
  readonly until: number;
  /**
   * Sequence of the newest move between halves that the home knew when it took
   * the interval: it judged every key of the interval with that knowledge.
   */
  readonly assignmentSequence: number;
}
