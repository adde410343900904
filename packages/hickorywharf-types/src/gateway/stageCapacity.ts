/** Capacity of one endpoint for the pieces of a stage. */
export interface StageCapacity {
  /** Calls that an endpoint runs in parallel. */
  readonly slots: number;
  /** Calls that may be queued at an endpoint. */
  readonly waiting: number;
  /** The most pieces in one call. */
  readonly batch: number;
  /** Time of a call without its pieces. */
  readonly callMilliseconds: number;
  /** Added by each piece of a call; differs from stage to stage. */
  readonly pieceMilliseconds: number;
  /** Memory for results at one endpoint. */
  readonly roomBytes: number;
  /** How long an endpoint keeps a result that is not released. */
  readonly keepMilliseconds: number;
}
