import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';

/** A piece that a request needs. */
interface PieceOrder {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly service: GatewayService;
  /** Pieces of one kind take about the same time. */
  readonly kind: string;
  readonly key: string | null;
  readonly inputs: readonly string[] | null;
  readonly priority: number;
  readonly targetAt: number;
  readonly deadlineAt: number;
  readonly resultBytes: number;
}

/** What a request gets for a piece. */
type PieceResult =
  | {readonly tag: 'made'; readonly handle: string}
  | {readonly tag: 'inputGone' | 'expired' | 'failed'};

/** Makes pieces of stages, in batches with those of other requests. */
export interface StageDispatcher {
  /** Asks for a piece; gives a way to call it off. */
  order(piece: PieceOrder, done: (result: PieceResult) => void): () => void;
  /** Gives results up, so that their makers have room again. */
  free(handles: readonly string[]): void;
  /** How long a piece that comes now would wait, in milliseconds. */
  getWait(service: GatewayService): number;
  /** Usual work on a piece of a kind, in milliseconds. */
  getPieceTime(service: GatewayService, kind: string): number;
  /** Looks for work again, after the endpoints or instances changed. */
  refresh(): void;
}
