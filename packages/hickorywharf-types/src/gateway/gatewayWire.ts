import type {Result} from 'neverthrow';
import type {AnswerHead} from './answerHead.ts';
import type {GatewayCall} from './gatewayCall.ts';
import type {OutgoingCall} from './outgoingCall.ts';
import type {PieceOutcome} from './pieceOutcome.ts';
import type {StagePiece} from './stagePiece.ts';

/** The names and formats of callers and endpoints. Nothing in it decides. */
export interface GatewayWire {
  /** The method and path of a call that makes or frees stage results. */
  readonly stageRun: {readonly method: string; readonly path: string};
  readonly stageFree: {readonly method: string; readonly path: string};
  readonly readinessPath: string;
  readCall(rawHeaders: readonly string[]): Result<GatewayCall, string>;
  writeCall(outgoing: OutgoingCall): string[];
  readAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  writePieces(pieces: readonly StagePiece[]): string;
  /** Outcomes in the order of the pieces. */
  readPieces(body: string, count: number): Result<PieceOutcome[], string>;
  writeFree(handles: readonly string[]): string;
  /** Headers of a request for stage work. */
  writeStageHeaders(
    endpointId: string,
    host: string,
    bodyBytes: number,
  ): string[];
}
