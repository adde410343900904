/** What one endpoint can do with the pieces of a stage. */
export interface StageCapacity {
  /** Calls that an endpoint works on at the same time. */
  readonly slots: number;
  /** Calls that may wait at an endpoint. */
  readonly waiting: number;
  /** The most pieces in one call. */
  readonly batch: number;
  readonly callMilliseconds: number;
  /** For each piece of a call; differs from stage to stage. */
  readonly pieceMilliseconds: number;
  /** Memory for results at one endpoint. */
  readonly roomBytes: number;
  /** How long an endpoint keeps a result that nobody gave up. */
  readonly keepMilliseconds: number;
}
