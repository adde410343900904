import type {Result} from 'neverthrow';
import type {ResponseHead} from './responseHead.ts';
import type {GatewayCall} from './gatewayCall.ts';
import type {OutgoingCall} from './outgoingCall.ts';
import type {PieceOutcome} from './pieceOutcome.ts';
import type {StagePiece} from './stagePiece.ts';

/** Parses and formats the headers and bodies of callers and endpoints. */
export interface GatewayWireFormat {
  /** Method and path of a call that computes pieces of a stage. */
  readonly stageRun: {readonly method: string; readonly path: string};
  /** Method and path of a call that releases stage results. */
  readonly stageFree: {readonly method: string; readonly path: string};
  readonly readinessPath: string;
  parseCall(rawHeaders: readonly string[]): Result<GatewayCall, string>;
  formatCallHeaders(outgoing: OutgoingCall): string[];
  parseResponseHead(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;
  formatPieces(pieces: readonly StagePiece[]): string;
  /** Returns the outcomes in the order of the pieces. */
  parsePieceOutcomes(
    body: string,
    count: number,
  ): Result<PieceOutcome[], string>;
  formatFree(handles: readonly string[]): string;
  /** Headers of a request that computes or releases stage results. */
  formatStageHeaders(
    endpointId: string,
    host: string,
    bodyBytes: number,
  ): string[];
}
