import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StagePiece} from 'hickorywharf-types/gateway/stagePiece';
import {buildStageRequest} from './buildStageRequest.ts';
import {createBodyBuffer} from 'hickorywharf-utils/createBodyBuffer';
import type {EndpointClient} from './endpointClient.ts';

interface StageCallOptions {
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly endpoint: GatewayEndpoint;
  readonly pieces: readonly StagePiece[];
  /** Asked before the call is written to a new connection. */
  mayStillSend(): boolean;
  /** Receives the head of the response, before the outcomes or a failure. */
  onHead(head: ResponseHead): void;
  /** Receives one outcome for each piece, in the order of `pieces`. */
  onOutcomes(outcomes: readonly PieceOutcome[]): void;
  onFailure(reason: string): void;
}

/** A handle is an address and an id of some ten bytes each. */
const MAXIMUM_OUTCOME_BYTES = 1024;
/** The rest of a response, or the whole one of a call that failed. */
const MAXIMUM_ENVELOPE_BYTES = 16_384;

/**
 * Sends a batch of pieces to an endpoint in one call. Unless the call is
 * aborted, exactly one of `onOutcomes` and `onFailure` is called, once. The call
 * has no timeout: an endpoint that is silent for a while may still answer.
 *
 * @returns a function that aborts the call; no handler is called after it
 * @example
 *     const abort = sendStageCall({wire, endpointClient, endpoint, pieces, ...handlers});
 *     abort();
 */
export function sendStageCall(options: StageCallOptions): () => void {
  const {wire, endpointClient, endpoint, pieces} = options;
  const maximumBytes =
    MAXIMUM_ENVELOPE_BYTES + pieces.length * MAXIMUM_OUTCOME_BYTES;
  const responseBody = createBodyBuffer(maximumBytes);
  let head: ResponseHead | null = null;
  let isSettled = false;

  function finish(): boolean {
    if (isSettled) return false;
    isSettled = true;
    return true;
  }
  function fail(reason: string): void {
    if (!finish()) return;
    exchange.abort();
    options.onFailure(reason);
  }

  const body = wire.formatPieces(pieces);
  const exchange = endpointClient.send({
    ...buildStageRequest(wire, endpoint, wire.stageRun, body),
    // The response names neither the call nor its pieces.
    isExclusive: true,
    mayStillSend: options.mayStillSend,
    onHead(responseHead) {
      head = responseHead;
      options.onHead(responseHead);
    },
    onData(chunk) {
      if (responseBody.append(chunk)) return;
      fail(`the response is longer than ${maximumBytes} bytes`);
    },
    onEnd() {
      if (head?.status !== 200) return fail(`status ${head?.status}`);
      const text = responseBody.toBuffer().toString();
      wire.parsePieceOutcomes(text, pieces.length).match((outcomes) => {
        if (finish()) options.onOutcomes(outcomes);
      }, fail);
    },
    onFailure: ({message}) => fail(message),
  });
  return () => {
    if (finish()) exchange.abort();
  };
}
