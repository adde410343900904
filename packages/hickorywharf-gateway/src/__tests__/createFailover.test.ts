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
  failover.search([SILENT], ({endpoint, inputs}) =>
    events.push(`asked ${endpoint.id} with ${inputs.join()}`),
  );
  return {facts, events, stages, failover};
}

test('another endpoint is asked only once the stages have run again, and its results are the call’s once it accepts', async (t) => {
  const {events, stages, failover} = prepare();
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events, ['retry taken', 'stages run']);
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(2), [
    'connecting engine-2',
    'reserved',
    'asked engine-2 with h1',
  ]);
  failover.accept();
  t.deepEqual(events.slice(5), ['adopted']);
  failover.cancel();
  t.is(events.length, 6);
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
});

test('a call whose endpoint goes on while another one is asked keeps no results', async (t) => {
  const {events, stages, failover} = prepare();
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  failover.cancel();
  // The retry was sent.
  t.deepEqual(events.slice(5), ['stages aborted', 'discarded']);
});

test('stages run again if the endpoint that is asked lacks their results', async (t) => {
  const {events, stages, failover} = prepare();
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  failover.recordInputGone();
  failover.search([SILENT], () => events.push('asked again'));
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(5, 8), ['discarded', 'retry taken', 'stages run']);
});

test('another endpoint is asked once what the call lacked is there', async (t) => {
  const {facts, events, stages} = prepare();
  facts.hasFreshKey = false;
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events, ['retry taken', 'stages run']);
  facts.hasFreshKey = true;
  // The retry that the call holds is in the budget already.
  facts.hasBudget = false;
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(3), ['reserved', 'asked engine-2 with h1']);
});

test('only an endpoint that has taken a connection is asked', async (t) => {
  const {events, stages} = prepare(new Set(['engine-2']));
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.deepEqual(events.slice(2), [
    'connecting engine-2',
    'connecting engine-3',
    'reserved',
    'asked engine-3 with h1',
  ]);
});

test('no endpoint is asked while none takes a connection', async (t) => {
  const {events, stages, failover} = prepare(new Set(['engine-2', 'engine-3']));
  stages.resolve(RESULTS);
  await sleep(CHECK_MILLISECONDS);
  t.false(events.some((event) => event.startsWith('asked')));
  failover.cancel();
  t.deepEqual(events.slice(-3), [
    'stages aborted',
    'discarded',
    'retry returned',
  ]);
});
