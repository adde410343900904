import test from 'ava';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import {sleep} from 'hickorywharf-utils/sleep';
import {ok} from 'neverthrow';
import {createEndpointLimiter} from '../createEndpointLimiter.ts';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createStageDispatcher} from '../createStageDispatcher.ts';
import type {EndpointRequest} from '../endpointRequest.ts';
import {createSimulatedEndpoint} from './createSimulatedEndpoint.ts';
import {TEST_ORDER} from './testOrder.ts';

const ENDPOINTS = 3;
const STAGE = {
  slots: 1,
  waiting: 2,
  batch: 4,
  callMilliseconds: 200,
  pieceMilliseconds: 20,
  roomBytes: 800,
  keepMilliseconds: 2500,
};
const GROUP_INTERVAL_MILLISECONDS = 150;
/** A group's results are used up so long after its last piece. */
const USE_MILLISECONDS = 100;
const HEAD = {
  status: 200,
  rateLimit: {tag: 'none'},
  isLeaving: false,
  retryAfter: {tag: 'none'},
} as ResponseHead;

/** A dispatcher whose endpoints are simulated. */
function createSystem() {
  const endpoints = Array.from({length: ENDPOINTS}, () =>
    createSimulatedEndpoint({
      ...STAGE,
      capacity: STAGE.roomBytes / TEST_ORDER.resultBytes,
    }),
  );
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  state.directory.update(
    endpoints.map((_endpoint, index) => ({
      id: `scan-${index}`,
      service: 'scan',
      host: 'h',
      port: index,
      failureDomain: 'a',
      isDraining: false,
      startedAt: 1,
      version: 'v1',
      slots: 1,
    })),
    {monotonic: 0, wall: 0},
  );
  state.configuration = {
    services: new Map([
      [
        'scan',
        {name: 'scan', maximumConnections: 9, stage: STAGE, engine: null},
      ],
    ]),
  } as unknown as GatewayConfiguration;

  function send(request: EndpointRequest) {
    const endpoint = endpoints[request.port]!;
    const body = JSON.parse(String(request.body)) as unknown[];
    let abort = (): void => undefined;
    if (request.path === '/free') {
      endpoint.free(body as string[]);
      setImmediate(() => {
        request.onHead(HEAD, true);
        request.onEnd(true);
      });
    } else {
      abort = endpoint.run(body.length, (outcomes) => {
        request.onHead(HEAD, true);
        request.onData(Buffer.from(JSON.stringify(outcomes)));
        request.onEnd(true);
      });
    }
    return {abort, pause: () => undefined, resume: () => undefined};
  }

  const log = {infoRateLimited: () => undefined, infoAlways: () => undefined};
  const metrics = createGatewayMetrics();
  const now = (): number => performance.now();
  const dispatcher = createStageDispatcher({
    state,
    wire: {
      stageRun: {method: 'POST', path: '/run'},
      stageFree: {method: 'POST', path: '/free'},
      formatPieces: (pieces: readonly unknown[]) => JSON.stringify(pieces),
      parsePieceOutcomes: (text: Buffer | string) =>
        ok(JSON.parse(String(text))),
      formatFree: (handles: readonly string[]) => JSON.stringify(handles),
      formatStageHeaders: () => [],
    } as unknown as GatewayWireFormat,
    endpointClient: {
      send,
      reserve: () => ({release: () => undefined}),
      close: () => undefined,
    },
    health: createEndpointHealth(),
    budget: createRetryBudget({
      ratio: 1,
      windowMilliseconds: 10_000,
      allowance: 50,
    }),
    limiter: createEndpointLimiter({
      name: 'x',
      incarnation: 'x-1',
      state,
      log,
      metrics,
      onLeaving: () => undefined,
      now,
    }),
    log,
    metrics,
    now,
  });

  /** Orders a group; resolves with whether all its pieces were made. */
  function orderGroup(requestId: string): Promise<boolean> {
    return new Promise((resolve) => {
      const handles: string[] = [];
      const cancel = dispatcher.order(
        {...TEST_ORDER, requestId, pieces: [0, 1, 2, 3]},
        (result) => {
          if (result.tag !== 'made') {
            cancel();
            dispatcher.free(handles);
            return resolve(false);
          }
          handles.push(result.handle);
          if (handles.length < 4) return;
          setTimeout(() => dispatcher.free(handles), USE_MILLISECONDS);
          resolve(true);
        },
      );
    });
  }

  return {endpoints, orderGroup};
}

// A stream of groups that the endpoints could make with half of their time,
// while their memory is full of the results of instances that were lost.
test('a stage recovers once the memory that lost instances had taken is free', async (t) => {
  const {endpoints, orderGroup} = createSystem();
  for (const endpoint of endpoints) endpoint.fill();
  const startedAt = performance.now();
  const groups: Array<{at: number; isMade: Promise<boolean>}> = [];
  while (performance.now() - startedAt < 8000) {
    const at = performance.now() - startedAt;
    groups.push({at, isMade: orderGroup(`r${groups.length}`)});
    await sleep(GROUP_INTERVAL_MILLISECONDS);
  }
  const recoveredAt = STAGE.keepMilliseconds + 2000;
  const after = groups.filter(({at}) => at > recoveredAt);
  const made = await Promise.all(after.map(({isMade}) => isMade));
  const count = made.filter((isMade) => isMade).length;
  t.true(after.length >= 10);
  t.true(count >= 0.9 * after.length, `${count} of ${after.length} groups`);
});
