import type {Result} from 'neverthrow';
import type {ResponseHead} from './responseHead.ts';
import type {GatewayCall} from './gatewayCall.ts';
import type {OutgoingCall} from './outgoingCall.ts';
import type {PieceOutcome} from './pieceOutcome.ts';
import type {StagePiece} from './stagePiece.ts';

/**
 * The names and formats of the headers and bodies that callers and endpoints
 * use. An implementation only parses and formats and decides nothing.
 */
export interface GatewayWireFormat {
  /** Method and path of a call that computes pieces of a stage. */
  readonly stageRun: {readonly method: string; readonly path: string};
  /** Method and path of a call that releases stage results. */
  readonly stageFree: {readonly method: string; readonly path: string};
  /** Path at which an instance reports whether it is ready. */
  readonly readinessPath: string;
  /** Returns the call, or a message for the caller of an invalid request. */
  parseCall(rawHeaders: readonly string[]): Result<GatewayCall, string>;
  formatCallHeaders(outgoing: OutgoingCall): string[];
  parseResponseHead(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;
  /** Formats the body of a call that computes pieces. */
  formatPieces(pieces: readonly StagePiece[]): string;
  /**
   * Returns the outcomes in the order of the pieces, or an error if the body is
   * not valid for `count` pieces.
   */
  parsePieceOutcomes(
    body: string,
    count: number,
  ): Result<PieceOutcome[], string>;
  /** Formats the body of a call that releases results. */
  formatFree(handles: readonly string[]): string;
  /** Headers of a request that computes or releases stage results. */
  formatStageHeaders(
    endpointId: string,
    host: string,
    bodyBytes: number,
  ): string[];
}
