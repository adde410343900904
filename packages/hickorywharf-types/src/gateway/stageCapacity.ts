/** Capacity of one endpoint for the pieces of a stage. */
export interface StageCapacity {
  /** Calls that an endpoint runs in parallel. */
  readonly slots: number;
  /** Calls that may be queued at an endpoint. */
  readonly waiting: number;
  /** The most pieces in one call. */
  readonly batch: number;
  /** Fixed time of a call, to which each piece adds its time. */
  readonly callMilliseconds: number;
  /** Configured time that a piece adds; the real time differs among stages. */
  readonly pieceMilliseconds: number;
  /** Size of the memory for results at one endpoint. */
  readonly roomBytes: number;
  /** How long an endpoint keeps a result that is not released. */
  readonly keepMilliseconds: number;
}
