import type {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';

/** How calls of stages are filled and requests admitted, for comparison. */
export interface StagePolicy {
  /** Picks the pieces of an endpoint's next call. */
  plan(
    ...input: Parameters<typeof planBatch<PieceGroup>>
  ): ReturnType<typeof planBatch<PieceGroup>>;
  /** Whether requests that the queues make infeasible are refused on arrival. */
  readonly hasAdmission: boolean;
  /** Whether room is shared among client accounts while it is short. */
  readonly hasShares?: boolean;
  /** Whether a stage start is delayed while parallel stages take longer. */
  readonly hasStartDelay?: boolean;
  /** Whether the target of a stage leaves time for the waits of later ones. */
  readonly hasLaterWaits?: boolean;
}
