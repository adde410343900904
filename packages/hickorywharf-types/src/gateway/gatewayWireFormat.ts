import type {Result} from 'neverthrow';
import type {ResponseHead} from './responseHead.ts';
import type {GatewayCall} from './gatewayCall.ts';
import type {OutgoingCall} from './outgoingCall.ts';
import type {PieceOutcome} from './pieceOutcome.ts';
import type {StagePiece} from './stagePiece.ts';

/** The names and formats of callers and endpoints. Nothing in it decides. */
export interface GatewayWireFormat {
  /** The method and path of a call that makes or frees stage results. */
  readonly stageRun: {readonly method: string; readonly path: string};
  readonly stageFree: {readonly method: string; readonly path: string};
  readonly readinessPath: string;
  parseCall(rawHeaders: readonly string[]): Result<GatewayCall, string>;
  formatCallHeaders(outgoing: OutgoingCall): string[];
  parseResponseHead(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;
  formatPieces(pieces: readonly StagePiece[]): string;
  /** Outcomes in the order of the pieces. */
  parsePieceOutcomes(
    body: string,
    count: number,
  ): Result<PieceOutcome[], string>;
  formatFree(handles: readonly string[]): string;
  /** Headers of a request for stage work. */
  formatStageHeaders(
    endpointId: string,
    host: string,
    bodyBytes: number,
  ): string[];
}
