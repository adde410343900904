import type {AnswerHead} from 'hickorywharf-types/gateway/answerHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWire} from 'hickorywharf-types/gateway/gatewayWire';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StagePiece} from 'hickorywharf-types/gateway/stagePiece';
import {describeStageCall} from './describeStageCall.ts';
import type {EndpointChannels} from './endpointChannels.ts';

interface StageCallOptions {
  readonly wire: GatewayWire;
  readonly channels: EndpointChannels;
  readonly endpoint: GatewayEndpoint;
  readonly pieces: readonly StagePiece[];
  /** After it the call is taken for lost. */
  readonly patienceMilliseconds: number;
  /** What became of each piece, in their order. */
  onOutcomes(outcomes: readonly PieceOutcome[]): void;
  onFailure(reason: string, isSilent: boolean): void;
}

/**
 * Asks an endpoint for pieces in one call. One of the two handlers is called,
 * once.
 *
 * @example
 *     sendStageCall({wire, channels, endpoint, pieces, patienceMilliseconds: 650, ...handlers});
 */
export function sendStageCall(options: StageCallOptions): void {
  const {wire, channels, endpoint, pieces} = options;
  const chunks: Buffer[] = [];
  let head: AnswerHead | null = null;
  let isOver = false;

  function finish(): boolean {
    if (isOver) return false;
    isOver = true;
    clearTimeout(timer);
    return true;
  }
  function fail(reason: string, isSilent = false): void {
    if (!finish()) return;
    exchange.abort();
    options.onFailure(reason, isSilent);
  }

  const timer = setTimeout(
    () => fail('no answer in time', true),
    options.patienceMilliseconds,
  );
  const body = wire.writePieces(pieces);
  const exchange = channels.send({
    ...describeStageCall(wire, endpoint, wire.stageRun, body),
    onHead(answerHead) {
      head = answerHead;
    },
    onData: (chunk) => void chunks.push(chunk),
    onEnd() {
      if (head?.status !== 200) return fail(`status ${head?.status}`);
      const text = Buffer.concat(chunks).toString();
      wire.readPieces(text, pieces.length).match((outcomes) => {
        if (finish()) options.onOutcomes(outcomes);
      }, fail);
    },
    onFailure: ({message}) => fail(message),
  });
}
