import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {sleep} from 'hickorywharf-utils/sleep';
import {createFailover} from '../createFailover.ts';

type Options = Parameters<typeof createFailover>[0];

/** Longer than the time between two checks of what a call lacks. */
const CHECK_MILLISECONDS = 250;
const SILENT = {id: 'engine-1'} as GatewayEndpoint;
const OTHER = {id: 'engine-2'} as GatewayEndpoint;
const LAST = {id: 'engine-3'} as GatewayEndpoint;
const RESULTS = {tag: 'made', inputs: ['h1'], handles: ['h1']} as const;

/**
 * A call that reads results of stages, which were freed.
 *
 * @param refusing endpoints that take no connection
 */
function prepare(refusing: ReadonlySet<string> = new Set()) {
  const facts = {
    mayRunAgain: true,
    hasBudget: true,
    hasFreshKey: true,
    isQuarantined: false,
    timeLeftMilliseconds: 3000,
    neededMilliseconds: 150,
  };
  const events: string[] = [];
  const stages = Promise.withResolvers<typeof RESULTS>();
  const failover = createFailover({
    inputs: {
      list: () => [],
      areMissing: () => true,
      mayRun: () => true,
      adopt: () => void events.push('adopted'),
      discard: () => void events.push('discarded'),
    } as unknown as Options['inputs'],
    requestId: 'r1',
    log: {infoRateLimited: () => undefined},
    metrics: {count: () => undefined},
    getFacts: () => facts,
    findEndpoint: (excluded) => [OTHER, LAST].find(({id}) => !excluded.has(id)),
    isUsable: () => true,
    connect(endpoint, {onOpen, onFailure}) {
      events.push(`connecting ${endpoint.id}`);
      if (refusing.has(endpoint.id)) queueMicrotask(() => onFailure('refused'));
      else queueMicrotask(onOpen);
      return {release: () => void events.push('connection released')};
    },
    runStages: (_endpoint, signal) => {
      events.push('stages run');
      signal.addEventListener('abort', () => events.push('stages aborted'));
      return stages.promise as unknown as ReturnType<Options['runStages']>;
    },
    takeRetry: () => void events.push('retry taken'),
    returnRetry: () => void events.push('retry returned'),
    reserve: () => void events.push('reserved'),
  });
  failover.prepare(SILENT, () => events.push('left'));
  return {facts, events, stages, failover};
}

test('a call leaves a silent endpoint only once its stages have run again', async (t) => {
  const {events, stages, failover} = prepare();
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events, ['retry taken', 'stages run']);
  t.is(failover.take(), null);
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(2), [
    'connecting engine-2',
    'reserved',
    'adopted',
    'left',
  ]);
  t.is(failover.take()?.endpoint, OTHER);
  t.is(failover.take(), null);
});

test('a call whose endpoint goes on keeps neither results nor its retry', async (t) => {
  const {facts, events, stages, failover} = prepare();
  facts.hasFreshKey = false;
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  failover.cancel();
  facts.hasFreshKey = true;
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events, [
    'retry taken',
    'stages run',
    'stages aborted',
    'discarded',
    'retry returned',
  ]);
  t.is(failover.take(), null);
});

test('a call leaves a silent endpoint once what it lacked is there', async (t) => {
  const {facts, events, stages} = prepare();
  facts.hasFreshKey = false;
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events, ['retry taken', 'stages run']);
  facts.hasFreshKey = true;
  // The retry that the call holds is in the budget already.
  facts.hasBudget = false;
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(3), ['reserved', 'adopted', 'left']);
});

test('a call leaves a silent endpoint only for one that has taken a connection', async (t) => {
  const {events, stages, failover} = prepare(new Set(['engine-2']));
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(2, 5), [
    'connecting engine-2',
    'connecting engine-3',
    'reserved',
  ]);
  t.is(failover.take()?.endpoint, LAST);
});

test('a call stays at a silent endpoint while no other one takes a connection', async (t) => {
  const {events, stages, failover} = prepare(new Set(['engine-2', 'engine-3']));
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.false(events.includes('left'));
  failover.cancel();
  t.deepEqual(events.slice(-3), [
    'stages aborted',
    'discarded',
    'retry returned',
  ]);
});
