import test from 'ava';
import {chooseEngine} from 'hickorywharf-decisions/gateway/chooseEngine';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createColdLimiter} from '../createColdLimiter.ts';
import {createEndpointLimiter} from '../createEndpointLimiter.ts';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';

const SETTINGS = {
  name: 'x',
  failureDomain: 'a',
  capacity: 1,
  lapseMilliseconds: 2000,
};
const engines = ['engine-1', 'engine-2'].map((id): GatewayEndpoint => ({
  id,
  service: 'engines',
  host: 'h',
  port: 1,
  failureDomain: 'a',
  isDraining: false,
  startedAt: 1,
  version: 'v1',
  slots: 64,
}));
/** A session of 25,000 tokens, which engine-2 has in its memory. */
const DEMAND = {
  parts: [
    {id: 'session', tokens: 25_000},
    {id: 'call', tokens: 500},
  ],
  failureDomain: 'a',
  results: [],
  resultBytes: 0,
};

function createTestLimiter(coldOverageRatio?: number) {
  const lines: Array<Readonly<Record<string, unknown>>> = [];
  const write = (message: string, fields: object) =>
    void lines.push({message, ...fields});
  const log = {infoRateLimited: write, infoAlways: write};
  const metrics = createGatewayMetrics();
  const state = createGatewayState(SETTINGS);
  const service = {
    name: 'engines',
    maximumConnections: 9,
    coldStart: {milliseconds: 3000, callsPerSecond: 2},
    stage: null,
    engine: null,
  };
  state.configuration = {
    version: 1,
    routes: [],
    services: new Map([['engines', service]]),
    accountsByKey: null,
  } as never;
  let time = 0;
  const getInstant = () => ({monotonic: time, wall: time + 10_000});
  const settings = {
    ...SETTINGS,
    ...(coldOverageRatio !== undefined && {coldOverageRatio}),
  };
  const cold = createColdLimiter({settings, state, log, metrics, getInstant});
  const limiter = createEndpointLimiter({
    name: 'x',
    incarnation: 'x-1',
    state,
    cold,
    log,
    metrics,
    onLeaving: () => undefined,
    now: () => time,
  });
  limiter.refresh();
  limiter.recordInstances([{name: 'x', capacity: 1}]);
  const setTime = (now: number): void => {
    time = now;
    limiter.recordInstances([{name: 'x', capacity: 1}]);
  };
  const list = (coldMilliseconds: number): void => {
    const entries = engines.map((engine) =>
      engine.id === 'engine-2' && coldMilliseconds > 0
        ? {...engine, coldMilliseconds}
        : engine,
    );
    state.directory.update(entries, getInstant());
    cold.recordList();
  };
  const choose = (): string | undefined =>
    chooseEngine(
      engines.map((engine) => ({
        ...engine,
        pendingTokens: 0,
        running: 0,
        penaltyMilliseconds: limiter.getPenalty(engine),
      })),
      DEMAND,
    )?.id;
  return {limiter, lines, metrics, setTime, list, choose};
}

test('a session whose engine is cold and has no room goes to another at once', (t) => {
  const {limiter, lines, metrics, setTime, list, choose} =
    createTestLimiter(1.5);
  t.is(choose(), 'engine-2');
  setTime(5000);
  list(3000);
  t.is(choose(), 'engine-2');
  t.is(limiter.reserve(engines[1]!), 0);
  t.is(choose(), 'engine-1');
  t.is(limiter.estimateWait('engines', [engines[1]!]), 1050);
  t.is(limiter.estimateWait('engines', engines), 0);
  // The rest of the second, and then until it is warm.
  setTime(6050);
  t.is(choose(), 'engine-2');
  list(0);
  t.is(limiter.getRate(engines[1]!), Infinity);
  for (let call = 0; call < 20; call += 1) {
    t.is(choose(), 'engine-2');
    t.is(limiter.reserve(engines[1]!), 0);
  }
  t.like(
    lines.map(({message, reason, peer}) => ({message, reason, peer})),
    [
      {message: 'endpoint is cold', reason: 'listed', peer: 'engine-2'},
      {message: 'endpoint is warm', reason: 'warm', peer: 'engine-2'},
    ],
  );
  t.regex(metrics.format(), /cold_calls_total\{result="sent"\} 1\n/);
});

test('without a margin in the settings, cold endpoints are called as others', (t) => {
  const {limiter, lines, setTime, list, choose} = createTestLimiter();
  setTime(5000);
  list(3000);
  for (let call = 0; call < 50; call += 1) {
    t.is(choose(), 'engine-2');
    t.is(limiter.reserve(engines[1]!), 0);
  }
  t.deepEqual(lines, []);
});
