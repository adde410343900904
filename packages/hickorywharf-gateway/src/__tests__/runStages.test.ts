import test from 'ava';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';
import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import {sleep} from 'hickorywharf-utils/sleep';
import type {CallContext} from '../callContext.ts';
import {runStages} from '../runStages.ts';

const service = (
  name: string,
  callMilliseconds = 200,
): [string, GatewayService] => [
  name,
  {
    name,
    maximumConnections: 9,
    engine: null,
    stage: {
      slots: 1,
      waiting: 2,
      batch: 1,
      callMilliseconds,
      pieceMilliseconds: 0,
      roomBytes: 9_000_000,
      keepMilliseconds: 4000,
    },
  },
];

/** A call with a stage of large results in parallel to a chain of two. */
function start(
  services = [service('large'), service('first'), service('second')],
) {
  const context = {
    call: {id: 'r', pieces: [1, 1, 1], pieceKey: 'k', promptTokens: 100},
    route: {
      name: 'report',
      stages: [
        {service: 'large', after: [], resultBytes: 3_000_000},
        {service: 'first', after: [], resultBytes: 8000},
        {service: 'second', after: [1], resultBytes: 8000},
      ],
    },
    priority: 0,
    targetAt: performance.now() + 2000,
    deadlineAt: performance.now() + 6000,
    isEnded: false,
    isSent: false,
    cleanups: new Set(),
  } as unknown as CallContext;
  const orders: Array<{
    order: StageOrder;
    onResult(result: StageResult): void;
  }> = [];
  const freed: string[] = [];
  const result = runStages({
    context,
    services: new Map(services),
    router: {
      order(order, onResult) {
        orders.push({order, onResult});
        return () => undefined;
      },
      getWaitEstimate: () => null,
      free: (handles) => void freed.push(...handles),
      getFailureDomain: () => undefined,
    },
    consumerDomain: null,
    getNow: () => performance.now(),
  });
  return {
    context,
    result,
    freed,
    listOrdered: () => orders.map(({order}) => order.service),
    finish(name: string): void {
      const found = orders.find(({order}) => order.service === name);
      const made = {piece: 0, handle: name, endpointId: 'e'};
      found?.onResult({tag: 'made', ...made});
    },
  };
}

test('a stage with large results starts just in time for the parallel chain', async (t) => {
  const {listOrdered} = start();
  t.deepEqual(listOrdered(), ['first']);
  await sleep(400);
  t.deepEqual(listOrdered(), ['first', 'large']);
});

test('a chain that finishes early does not wait for large results', async (t) => {
  const {listOrdered, finish, result, freed} = start();
  finish('first');
  t.deepEqual(listOrdered().sort(), ['first', 'large', 'second']);
  t.deepEqual(freed, []);
  finish('second');
  t.deepEqual(freed, ['first']);
  finish('large');
  t.like(await result, {tag: 'made', inputs: ['large', 'second']});
});

test('a delayed stage does not start after the call failed', async (t) => {
  const {listOrdered, result} = start([
    service('large'),
    service('second', 400),
  ]);
  t.like(await result, {tag: 'failed', reason: 'noEndpoint'});
  await sleep(400);
  t.deepEqual(listOrdered(), []);
});

test('a delayed stage does not start after the caller disconnected', async (t) => {
  const {context, listOrdered, result} = start();
  context.isEnded = true;
  for (const cleanup of context.cleanups) cleanup();
  t.like(await result, {tag: 'failed'});
  await sleep(400);
  t.deepEqual(listOrdered(), ['first']);
});
