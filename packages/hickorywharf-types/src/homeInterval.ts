/**
 * The right of one endpoint process, the home, to run the actions of one
 * partition of a pool's idempotency keys, for keys issued in `[from, until)`.
 * Successive intervals of a partition are disjoint.
 */
export interface HomeInterval {
  readonly pool: string;
  /** Id of the partition, from 0. */
  readonly part: number;
  /** The half whose requests the interval covers; null for shared ones. */
  readonly half: string | null;
  /** Name of the endpoint that is the home. */
  readonly home: string;
  /** Incarnation of the home. */
  readonly incarnation: string;
  /** Increases by 1 with each new interval of the partition. */
  readonly epoch: number;
  /** Issue time in milliseconds since the epoch, inclusive. */
  readonly from: number;
  /** Issue time in milliseconds since the epoch, exclusive. */
  readonly until: number;
  /**
   * Sequence of the newest move between halves that the home had applied when
   * it acquired the interval. The home had applied at least this move whenever
   * it decided on a key of the interval.
   */
  readonly assignmentSequence: number;
}
