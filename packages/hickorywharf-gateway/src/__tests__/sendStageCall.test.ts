import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {StagePiece} from 'hickorywharf-types/gateway/stagePiece';
import {ok} from 'neverthrow';
import type {EndpointRequest} from '../endpointRequest.ts';
import {sendStageCall} from '../sendStageCall.ts';

const PIECE_COUNT = 50;

/** Sends a batch whose response is read as `respond` says. */
function sendBatch(
  respond: (request: EndpointRequest, isAborted: () => boolean) => void,
): Promise<{outcomes: number; reason: string | null; isAborted: boolean}> {
  return new Promise((resolve) => {
    let isAborted = false;
    sendStageCall({
      wire: {
        stageRun: {method: 'POST', path: '/run'},
        formatPieces: () => '',
        formatStageHeaders: () => [],
        parsePieceOutcomes: (_text: string, count: number) =>
          ok(new Array(count).fill({tag: 'failed'})),
      } as unknown as GatewayWireFormat,
      endpointClient: {
        send(request) {
          setImmediate(() => {
            request.onHead({status: 200} as ResponseHead, true);
            respond(request, () => isAborted);
          });
          return {
            abort: () => void (isAborted = true),
            pause: () => undefined,
            resume: () => undefined,
          };
        },
        reserve: () => ({release: () => undefined}),
        close: () => undefined,
      },
      endpoint: {id: 'scan-0', host: '127.0.0.1', port: 1} as GatewayEndpoint,
      pieces: new Array<StagePiece>(PIECE_COUNT).fill({
        requestId: 'r',
        stage: 0,
        piece: 0,
        timeLeftMilliseconds: 1000,
        key: 'k',
        inputs: null,
      }),
      mayStillSend: () => true,
      onHead: () => undefined,
      onOutcomes: (outcomes) =>
        resolve({outcomes: outcomes.length, reason: null, isAborted}),
      onFailure: (reason) => resolve({outcomes: 0, reason, isAborted}),
    });
  });
}

test('the answer to a stage call is not collected without end', async (t) => {
  let receivedBytes = 0;
  const {reason, isAborted} = await sendBatch((request, hasEnded) => {
    while (!hasEnded() && receivedBytes < 100_000_000) {
      receivedBytes += 16_384;
      request.onData(Buffer.alloc(16_384));
    }
  });
  t.true(receivedBytes < 200_000, `${receivedBytes} bytes were collected`);
  t.true(isAborted);
  t.regex(reason ?? '', /^the response is longer than \d+ bytes$/);
});

test('the handles of a full batch are read', async (t) => {
  const {outcomes} = await sendBatch((request) => {
    for (let piece = 0; piece < PIECE_COUNT; piece += 1) {
      request.onData(Buffer.alloc(1000));
    }
    request.onEnd(true);
  });
  t.is(outcomes, PIECE_COUNT);
});
