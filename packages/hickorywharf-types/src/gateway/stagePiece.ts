/** One piece of a stage as an endpoint is asked for it. */
export interface StagePiece {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly timeLeftMilliseconds: number;
  /** Names the caller's material; for stages that read no results. */
  readonly key: string | null;
  /** Handles of all results that the stage reads; null with a key. */
  readonly inputs: readonly string[] | null;
}
