import test from 'ava';
import {isFrame} from 'hickorywharf-transport/isFrame';
import {createFrameCodec} from 'hickorywharf-transport/createFrameCodec';
import type {Frame} from 'hickorywharf-types/frame';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createPeerStateSync} from '../createPeerStateSync.ts';
import {createStateUpdater} from '../createStateUpdater.ts';
import {createGatewayState} from '../createGatewayState.ts';

const codec = createFrameCodec();

const configuration = (version: number): GatewayConfiguration => ({
  version,
  routes: [
    {
      name: 'desk',
      host: 'desk.example',
      prefix: '/',
      kind: 'read',
      timeoutMilliseconds: 1000,
      targetMilliseconds: 100,
      priority: 1,
      services: [{service: 'desk', weight: 1}],
      maximumEndpoints: 2,
      stages: [],
      isPublic: false,
      isSticky: false,
      canResume: false,
    },
  ],
  services: new Map([
    ['desk', {name: 'desk', maximumConnections: 9, stage: null, engine: null}],
  ]),
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
  accountsByKey: new Map([['key', {name: 'account', priority: null}]]),
});

const endpoint = (id: string, isDraining = false): GatewayEndpoint => ({
  id,
  service: 'desk',
  host: '10.0.0.1',
  port: 80,
  failureDomain: 'a',
  isDraining,
  startedAt: 1,
  slots: 6,
});

/** An instance on a clock of its own, as machines have them. */
function createInstance(clock: {time: number}, offset: number) {
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  const getInstant = () => ({
    monotonic: clock.time + offset,
    wall: clock.time + 2 * offset,
  });
  const beliefs = createStateUpdater({
    state,
    getInstant,
    onChange() {},
    onEndpointRemoved() {},
    log: {infoAlways() {}, infoRateLimited() {}},
  });
  let peer: ReturnType<typeof createPeerStateSync> | null = null;
  const sent: Frame[] = [];
  const relay = createPeerStateSync({
    state,
    beliefs,
    getInstant,
    send(_peer, frame) {
      if (peer === null) return false;
      const reply = (answer: Frame): boolean => {
        const wire: unknown = codec.decode(codec.encode(answer));
        if (!isFrame(wire)) throw new Error('not a frame');
        sent.push(wire);
        relay.handleReply(wire);
        return true;
      };
      const identity = {
        name: 'asker',
        incarnation: 'i',
        failureDomain: 'a',
        role: 'entry',
      } as const;
      const wire: unknown = codec.decode(codec.encode(frame));
      if (!isFrame(wire)) throw new Error('not a frame');
      peer.handleRequest({peer: identity, send: reply}, wire);
      return true;
    },
  });
  const getAges = () => [
    state.configurationFreshness.getAge(getInstant()),
    state.endpointFreshness.getAge(getInstant()),
  ];
  return {
    state,
    beliefs,
    relay,
    sent,
    getInstant,
    getAges,
    setPeer: (other: typeof relay) => void (peer = other),
  };
}

function createPair() {
  const clock = {time: 1000};
  const reader = createInstance(clock, 0);
  const asker = createInstance(clock, 50_000);
  asker.setPeer(reader.relay);
  return {clock, reader, asker};
}

test('an instance that never reached the store learns all through another', async (t) => {
  const {clock, reader, asker} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 400;
  t.true(await asker.relay.fetchState('reader'));
  t.deepEqual(asker.state.configuration, configuration(7));
  t.is(asker.state.directory.getUsable('desk').length, 1);
  t.deepEqual(asker.getAges(), [400, 400], 'as old as at the reader');
  t.true(reader.relay.hasRecentRequests());
});

test('a reader that knows nothing confirms nothing', async (t) => {
  const {asker} = createPair();
  t.true(await asker.relay.fetchState('reader'));
  t.is(asker.state.configuration, null);
  t.deepEqual(asker.getAges(), [Infinity, Infinity]);
});

test('what the asker has is not sent again, but confirmed', async (t) => {
  const {clock, reader, asker} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await asker.relay.fetchState('reader');
  clock.time += 900;
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 10;
  await asker.relay.fetchState('reader');
  t.like(asker.sent[1], {configuration: null, endpoints: null});
  t.deepEqual(asker.getAges(), [10, 10]);
});

test('a reader that is behind changes and confirms nothing', async (t) => {
  const {clock, reader, asker} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 500;
  asker.beliefs.applyConfiguration(configuration(8), asker.getInstant());
  asker.beliefs.applyEndpoints([endpoint('x', true)], asker.getInstant());
  clock.time += 100;
  await asker.relay.fetchState('reader');
  t.is(asker.state.configuration?.version, 8);
  t.deepEqual(asker.state.directory.getUsable('desk'), []);
  t.deepEqual(asker.getAges(), [100, 100]);
});

test('the reader’s judgement of a lapse counts, not the asker’s', async (t) => {
  const {clock, reader, asker} = createPair();
  const both = [endpoint('x'), endpoint('y')];
  reader.beliefs.applyEndpoints(both, reader.getInstant());
  await asker.relay.fetchState('reader');
  asker.state.directory.recordOutage();
  clock.time += 300;
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await asker.relay.fetchState('reader');
  t.is(asker.state.directory.getUsable('desk').length, 1);

  reader.state.directory.recordOutage();
  clock.time += 300;
  reader.beliefs.applyEndpoints([], reader.getInstant());
  await asker.relay.fetchState('reader');
  t.is(asker.state.directory.getUsable('desk').length, 1, 'a lapse stays');
});

test('an instance that does not answer is waited for a short time only', async (t) => {
  const {asker} = createPair();
  asker.setPeer({
    fetchState: async () => false,
    hasRecentRequests: () => false,
    handleRequest() {},
    handleReply() {},
  });
  const startedAt = Date.now();
  t.false(await asker.relay.fetchState('reader'));
  t.true(Date.now() - startedAt < 1000);
});
