import test from 'ava';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import {createStageRouter} from '../createStageRouter.ts';
import type {GatewayState} from '../gatewayState.ts';
import type {StageDispatcher} from '../stageDispatcher.ts';
import {TEST_ORDER} from './testOrder.ts';

type RouterOptions = Parameters<typeof createStageRouter>[0];

/** A router of instance `self`, with `other` as the dispatcher of `scan`. */
function createRouter() {
  const connected = new Set(['other']);
  const sent: Frame[] = [];
  const local: Array<{
    order: StageOrder;
    onResult: (result: StageResult) => void;
  }> = [];
  const freed: string[] = [];
  const freedAt: string[] = [];
  const state = {
    isStopping: false,
    instances: [
      {name: 'self', failureDomain: 'a', capacity: 0.5},
      {name: 'other', failureDomain: 'a', capacity: 1.5},
    ],
    configuration: {
      services: new Map([['scan', {name: 'scan', stage: {}}]]),
    },
  } as unknown as GatewayState;
  const dispatcher: StageDispatcher = {
    order(order, onResult) {
      local.push({order, onResult});
      return () => undefined;
    },
    free: (handles) => void freed.push(...handles),
    freeAt: (_endpoint, handles) => void freedAt.push(...handles),
    getWaitEstimate: () => null,
    refresh: () => undefined,
    removeEndpoint: () => undefined,
  };
  const router = createStageRouter({
    name: 'self',
    state,
    dispatcher,
    log: {infoRateLimited: () => undefined, infoAlways: () => undefined},
    now: () => 0,
    getPeers: () =>
      ({
        isConnected: (name: string) => connected.has(name),
        send(_name: string, frame: Frame) {
          sent.push(frame);
          return true;
        },
      }) as unknown as ReturnType<RouterOptions['getPeers']>,
  });
  return {router, state, connected, sent, local, freed, freedAt};
}

const made = (piece: number): StageResult => ({
  tag: 'made',
  piece,
  handle: `h${piece}`,
  endpointId: 'scan-0',
});

test('pieces go to the dispatcher of their service', (t) => {
  const {router, sent, local} = createRouter();
  const results: StageResult[] = [];
  router.order(TEST_ORDER, (result) => results.push(result));
  t.is(sent[0]?.tag, 'stageOrder');
  t.is(local.length, 0);
  router.handleReply('other', {
    tag: 'stageResults',
    orderId: 1,
    results: [made(0), made(1)],
  });
  t.is(results.length, 2);
});

test('unfinished pieces of a disconnected dispatcher go to its successor', (t) => {
  const {router, connected, local} = createRouter();
  const results: StageResult[] = [];
  router.order(TEST_ORDER, (result) => results.push(result));
  router.handleReply('other', {
    tag: 'stageResults',
    orderId: 1,
    results: [made(0)],
  });
  connected.delete('other');
  router.reassignOrders('other');
  t.deepEqual(local[0]?.order.pieces, [1]);
  local[0]!.onResult(made(1));
  t.is(results.length, 2);
});

test('late results from a disconnected dispatcher are freed', (t) => {
  const {router, connected, sent} = createRouter();
  const results: StageResult[] = [];
  router.order(TEST_ORDER, (result) => results.push(result));
  connected.delete('other');
  router.reassignOrders('other');
  router.handleReply('other', {
    tag: 'stageResults',
    orderId: 1,
    results: [made(0)],
  });
  t.is(results.length, 0);
  t.deepEqual(sent.at(-1), {tag: 'stageFree', handles: ['h0']});
});

test('results of a disconnected dispatcher are freed at their endpoint', (t) => {
  const {router, connected, freedAt} = createRouter();
  router.order(TEST_ORDER, () => undefined);
  router.handleReply('other', {
    tag: 'stageResults',
    orderId: 1,
    results: [made(0)],
  });
  connected.delete('other');
  router.free(['h0']);
  t.deepEqual(freedAt, ['h0']);
});

test('a stopping instance orders from peers while any is connected', (t) => {
  const {router, state, connected, sent, local} = createRouter();
  state.instances = [
    {name: 'self', failureDomain: 'a', capacity: 1.5},
    {name: 'other', failureDomain: 'a', capacity: 0.5},
  ];
  router.order(TEST_ORDER, () => undefined);
  t.is(local.length, 1);
  state.isStopping = true;
  router.order(TEST_ORDER, () => undefined);
  t.is(sent.length, 1);
  connected.delete('other');
  router.order(TEST_ORDER, () => undefined);
  t.is(local.length, 2);
});

test('orders of a disconnected peer are cancelled', (t) => {
  const {router, local} = createRouter();
  const frames: Frame[] = [];
  const connection = {
    send(frame: Frame) {
      frames.push(frame);
      return true;
    },
  } as unknown as Connection;
  router.handleRequest(connection, {
    tag: 'stageOrder',
    orderId: 7,
    order: TEST_ORDER,
  });
  t.is(local.length, 1);
  t.notThrows(() => router.cancelRequests(connection));
});
