import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StagePiece} from 'hickorywharf-types/gateway/stagePiece';
import {buildStageRequest} from './buildStageRequest.ts';
import type {EndpointClient} from './endpointClient.ts';

interface StageCallOptions {
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly endpoint: GatewayEndpoint;
  readonly pieces: readonly StagePiece[];
  /** After it the call is taken for lost. */
  readonly timeoutMilliseconds: number;
  /** What became of each piece, in their order. */
  onOutcomes(outcomes: readonly PieceOutcome[]): void;
  onFailure(reason: string, isSilent: boolean): void;
}

/**
 * Asks an endpoint for pieces in one call. One of the two handlers is called,
 * once.
 *
 * @example
 *     sendStageCall({wire, channels, endpoint, pieces, timeoutMilliseconds: 650, ...handlers});
 */
export function sendStageCall(options: StageCallOptions): void {
  const {wire, endpointClient: endpointClient, endpoint, pieces} = options;
  const chunks: Buffer[] = [];
  let head: ResponseHead | null = null;
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
    options.timeoutMilliseconds,
  );
  const body = wire.formatPieces(pieces);
  const exchange = endpointClient.send({
    ...buildStageRequest(wire, endpoint, wire.stageRun, body),
    onHead(answerHead) {
      head = answerHead;
    },
    onData: (chunk) => void chunks.push(chunk),
    onEnd() {
      if (head?.status !== 200) return fail(`status ${head?.status}`);
      const text = Buffer.concat(chunks).toString();
      wire.parsePieceOutcomes(text, pieces.length).match((outcomes) => {
        if (finish()) options.onOutcomes(outcomes);
      }, fail);
    },
    onFailure: ({message}) => fail(message),
  });
}
