import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {OpenStageCall} from './openStageCall.ts';
import type {QueuedGroup} from './queuedGroup.ts';

/**
 * A piece of an order. It waits in one group, is a part of calls, or is
 * settled. A piece that waits in the group of hedges is a part of calls as
 * well.
 */
export interface OrderedPiece {
  readonly order: StageOrder;
  readonly position: number;
  /** The group of pieces of the order that are a part of no call. */
  readonly firsts: QueuedGroup;
  /** The group of pieces of the order whose calls are all overdue. */
  readonly hedges: QueuedGroup;
  /** When the result becomes useless, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Expected time that the piece adds to a call. */
  readonly workMilliseconds: number;
  /** The calls in progress that the piece is a part of. */
  readonly calls: Set<OpenStageCall>;
  /** Whether the piece waits in one of the two groups. */
  isQueued: boolean;
  /** How many times the piece was sent to an endpoint. */
  sends: number;
  /** Whether its outcome was reported, or the order was cancelled. */
  isSettled: boolean;
  /** Receives the outcome of the piece. */
  onResult(result: StageResult): void;
}
