/** One piece of a stage in a call to an endpoint. */
export interface StagePiece {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly timeLeftMilliseconds: number;
  /** Names the caller's material; null for a stage that reads results. */
  readonly key: string | null;
  /** Handles of all results that the stage reads; null if there is a key. */
  readonly inputs: readonly string[] | null;
}
