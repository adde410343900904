import type {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';

/** A way to make the pieces of stages, for comparison. */
export interface StagePolicy {
  plan(
    ...input: Parameters<typeof planBatch<PieceGroup>>
  ): ReturnType<typeof planBatch<PieceGroup>>;
  /** Whether calls are refused at the door by what waits. */
  readonly isAdmitting: boolean;
  /** Whether stages are begun only when those beside them need it. */
  readonly isDelaying?: boolean;
}
