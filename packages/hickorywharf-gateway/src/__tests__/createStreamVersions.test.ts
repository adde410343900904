import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {StreamExchange} from 'hickorywharf-types/gateway/streamExchange';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createStreamVersions} from '../createStreamVersions.ts';

const SERVICE = 'engines';
const ORIGIN = {streamId: 'r1', service: SERVICE, version: 'v1'};

const listVersions = (...versions: readonly string[]): GatewayEndpoint[] =>
  versions.map((version, index) => ({
    id: `engine-${index}`,
    service: SERVICE,
    host: 'h',
    port: index,
    failureDomain: 'a',
    isDraining: false,
    startedAt: 1,
    version,
    slots: 1,
  }));

/** Instances that exchange what they send, unless one of them is cut off. */
function createInstances(count: number, ...versions: readonly string[]) {
  let time = 0;
  const names = Array.from({length: count}, (_value, index) => `i${index}`);
  const instances = names.map((name) => ({
    name,
    capacity: 1,
    failureDomain: 'a',
  }));
  const cutOff = new Set<string>();
  const sent: Array<readonly [peer: string, exchange: StreamExchange]> = [];
  const byName = new Map<string, ReturnType<typeof start>>();

  const getInstant = () => ({monotonic: time, wall: time + 1e9});
  function start(name: string) {
    const state = createGatewayState({
      name,
      failureDomain: 'a',
      capacity: 1,
      lapseMilliseconds: 2000,
    });
    state.instances = instances;
    const streams = createStreamVersions({
      name,
      state,
      metrics: createGatewayMetrics(),
      getInstant,
      confirmEndpoints: async () => true,
      journal: {
        add: () => undefined,
        earlierOrigins: Promise.resolve([]),
      },
      ledger: {
        publish: () => undefined,
        earlierVersions: Promise.resolve(null),
      },
      send(peer, exchange) {
        sent.push([peer, exchange]);
        if (cutOff.has(peer) || cutOff.has(name)) return false;
        void byName
          .get(peer)!
          .streams.handle(exchange)
          .then((reply) => reply && streams.handle(reply));
        return true;
      },
    });
    byName.set(name, {state, streams});
    return {state, streams};
  }
  names.forEach(start);

  /** Lets all read the list with these versions, once a second. */
  function pass(seconds: number, ...listed: readonly string[]): void {
    for (let second = 0; second < seconds; second += 1) {
      time += 1000;
      for (const {state, streams} of byName.values()) {
        state.directory.update(listVersions(...listed), getInstant());
        streams.recordList(getInstant());
      }
    }
  }
  pass(5, ...versions);
  return {
    get: (index: number) => byName.get(`i${index}`)!.streams,
    /** Starts an instance anew, without what it knew. */
    restart: (index: number) => start(`i${index}`),
    cutOff,
    sent,
    pass,
  };
}

test('a stream is resumed at its version after its instance was lost', async (t) => {
  const {get, cutOff} = createInstances(3, 'v1', 'v2');
  get(0).recordBegin(ORIGIN);
  cutOff.add('i0');
  for (const index of [1, 2]) {
    t.is((await get(index).find('r1', SERVICE))?.version, 'v1');
  }
});

test('an instance that has just started asks where a stream began', async (t) => {
  const {get, restart} = createInstances(3, 'v1', 'v2');
  get(0).recordBegin(ORIGIN);
  const {streams} = restart(1);
  const found = await streams.find('r1', SERVICE);
  t.deepEqual([found?.version, found?.source], ['v1', 'peer']);
});

test('an instance that is cut off resumes only streams that it knows', async (t) => {
  const {get, cutOff} = createInstances(3, 'v1', 'v2');
  cutOff.add('i0');
  get(1).recordBegin(ORIGIN);
  t.is(await get(0).find('r1', SERVICE), null);
  get(0).recordBegin({...ORIGIN, streamId: 'r2'});
  t.is((await get(0).find('r2', SERVICE))?.version, 'v1');
});

test('a stream that nobody knows is not resumed while several versions serve', async (t) => {
  const {get} = createInstances(4, 'v1', 'v2');
  t.is(await get(0).find('unknown', SERVICE), null);
});

test('a stream of another service is not resumed', async (t) => {
  const {get} = createInstances(3, 'v1', 'v2');
  get(0).recordBegin({...ORIGIN, service: 'others'});
  t.is(await get(0).find('r1', SERVICE), null);
  t.is(await get(1).find('r1', SERVICE), null);
});

test('while one version serves, nothing is sent and every stream is resumed', async (t) => {
  const {get, pass, sent} = createInstances(3, 'v1');
  pass(100, 'v1');
  get(0).recordBegin(ORIGIN);
  const found = await get(1).find('r1', SERVICE);
  t.deepEqual([found?.version, found?.source], ['v1', 'onlyVersion']);
  t.is(sent.length, 0);
});

test('streams from before a release are told to peers when it starts', async (t) => {
  const {get, pass, cutOff} = createInstances(3, 'v1');
  pass(100, 'v1');
  get(0).recordBegin(ORIGIN);
  pass(1, 'v1', 'v2');
  get(0).flush();
  cutOff.add('i0');
  t.is((await get(1).find('r1', SERVICE))?.version, 'v1');
});

test('a resumed stream keeps its version for a second resumption', async (t) => {
  const {get, cutOff, pass} = createInstances(3, 'v1', 'v2');
  get(0).recordBegin(ORIGIN);
  pass(50, 'v1', 'v2');
  t.is((await get(1).find('r1', SERVICE))?.version, 'v1');
  get(1).recordBegin(ORIGIN);
  pass(50, 'v1', 'v2');
  cutOff.add('i0').add('i1');
  t.is((await get(2).find('r1', SERVICE))?.version, 'v1');
});

test('of many instances, few are told of a stream', async (t) => {
  const {get, sent} = createInstances(40, 'v1', 'v2');
  get(7).recordBegin(ORIGIN);
  t.is(sent.length, 2);
  t.is((await get(33).find('r1', SERVICE))?.version, 'v1');
});

test('records are dropped although no stream is resumed', async (t) => {
  const {get, pass, cutOff} = createInstances(3, 'v1', 'v2');
  get(0).recordBegin(ORIGIN);
  pass(100, 'v1', 'v2');
  get(0).flush();
  cutOff.add('i0');
  t.is(await get(0).find('r1', SERVICE), null);
});
