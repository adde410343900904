import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StagePiece} from 'hickorywharf-types/gateway/stagePiece';
import {startTimeout} from 'hickorywharf-utils/startTimeout';
import {buildStageRequest} from './buildStageRequest.ts';
import {createBodyBuffer} from './createBodyBuffer.ts';
import type {EndpointClient} from './endpointClient.ts';

interface StageCallOptions {
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly endpoint: GatewayEndpoint;
  readonly pieces: readonly StagePiece[];
  /** Time after which the call fails and is aborted. */
  readonly timeoutMilliseconds: number;
  /** Asked before the call is written to a new connection. */
  mayStillSend(): boolean;
  /** Receives the head of the response, before the outcomes or a failure. */
  onHead(head: ResponseHead): void;
  /** Receives one outcome for each piece, in the order of `pieces`. */
  onOutcomes(outcomes: readonly PieceOutcome[]): void;
  /** `isTimeout` is true only for a call that timed out. */
  onFailure(reason: string, isTimeout: boolean): void;
}

/** A handle is an address and an id of some ten bytes each. */
const MAXIMUM_OUTCOME_BYTES = 1024;
/** The rest of a response, or the whole one of a call that failed. */
const MAXIMUM_ENVELOPE_BYTES = 16_384;

/**
 * Sends a batch of pieces to an endpoint in one call. Exactly one of the two
 * handlers is called, once.
 *
 * @example
 *     sendStageCall({wire, endpointClient, endpoint, pieces, timeoutMilliseconds: 650, ...handlers});
 */
export function sendStageCall(options: StageCallOptions): void {
  const {wire, endpointClient, endpoint, pieces} = options;
  const maximumBytes =
    MAXIMUM_ENVELOPE_BYTES + pieces.length * MAXIMUM_OUTCOME_BYTES;
  const responseBody = createBodyBuffer(maximumBytes);
  let head: ResponseHead | null = null;
  let isSettled = false;

  function finish(): boolean {
    if (isSettled) return false;
    isSettled = true;
    stopTimeout();
    return true;
  }
  function fail(reason: string, isTimeout = false): void {
    if (!finish()) return;
    exchange.abort();
    options.onFailure(reason, isTimeout);
  }

  const stopTimeout = startTimeout({
    milliseconds: options.timeoutMilliseconds,
    onTimeout: () => fail('no response in time', true),
  });
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
}
