/**
 * The right to run actions of one part of a pool's key space, for keys issued
 * in `[from, until)`. Successive intervals of a part are disjoint.
 */
export interface HomeInterval {
  readonly pool: string;
  readonly part: number;
  /** Name of the endpoint that is home. */
  readonly home: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Milliseconds of issue time, inclusive. */
  readonly from: number;
  /** Milliseconds of issue time, exclusive. */
  readonly until: number;
}
