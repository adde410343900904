/** One piece of a stage in a call to an endpoint. */
export interface StagePiece {
  readonly requestId: string;
  /** Position of the stage in its route. */
  readonly stage: number;
  /** Position of the piece within the stage. */
  readonly piece: number;
  /** Time left until the deadline of the piece. */
  readonly timeLeftMilliseconds: number;
  /** Names the caller's material; null if there is none or it is not read. */
  readonly key: string | null;
  /** Handles of all results that the stage reads; null if it reads none. */
  readonly inputs: readonly string[] | null;
}
