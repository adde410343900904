import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import type {OrderedPiece} from './orderedPiece.ts';

/** The pieces of an order that wait to be sent to an endpoint. */
export interface QueuedGroup extends PieceGroup {
  readonly service: string;
  readonly waiting: OrderedPiece[];
  /**
   * Whether the pieces are a part of overdue calls. Such a piece is sent only
   * if the retry budget has room for it.
   */
  readonly isHedge: boolean;
  isStarted: boolean;
}
