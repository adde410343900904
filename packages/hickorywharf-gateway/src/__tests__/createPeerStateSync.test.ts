import {deflateRawSync} from 'node:zlib';
import test from 'ava';
import fc from 'fast-check';
import {isFrame} from 'hickorywharf-transport/isFrame';
import {createFrameCodec} from 'hickorywharf-transport/createFrameCodec';
import type {Frame} from 'hickorywharf-types/frame';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createPeerStateSync} from '../createPeerStateSync.ts';
import {createStateUpdater} from '../createStateUpdater.ts';

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
  version: 'v1',
  slots: 6,
});

/** An instance whose clocks have an offset, as clocks of machines differ. */
function createInstance(clock: {time: number}, offset: number) {
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
    evacuateMilliseconds: 5000,
  });
  const getInstant = () => ({
    monotonic: clock.time + offset,
    wall: clock.time + 2 * offset,
  });
  const updater = createStateUpdater({
    onEndpointsConfirmed: () => undefined,
    state,
    getInstant,
    onChange() {},
    onEndpointRemoved() {},
    onEndpointRestarted() {},
    metrics: {count() {}, time() {}},
    log: {infoAlways() {}, infoRateLimited() {}},
  });
  let peer: ReturnType<typeof createPeerStateSync> | null = null;
  const sent: Frame[] = [];
  /** Replies that wait to be delivered; null while all are at once. */
  let held: Frame[] | null = null;
  const sync = createPeerStateSync({
    state,
    beliefs: updater,
    log: {infoAlways() {}, infoRateLimited() {}},
    metrics: createGatewayMetrics(),
    getInstant,
    send(_peer, frame) {
      if (peer === null) return false;
      const reply = (response: Frame): boolean => {
        const decoded: unknown = codec.decode(codec.encode(response));
        if (!isFrame(decoded)) throw new Error('not a frame');
        sent.push(decoded);
        if (held === null) sync.handleReply(decoded);
        else held.push(decoded);
        return true;
      };
      const identity = {
        name: 'requester',
        incarnation: 'i',
        failureDomain: 'a',
        role: 'entry',
      } as const;
      const decoded: unknown = codec.decode(codec.encode(frame));
      if (!isFrame(decoded)) throw new Error('not a frame');
      const connection = {
        peer: identity,
        send: reply,
        sendEncoded: () => false,
      };
      peer.handleRequest(connection, decoded);
      return true;
    },
  });
  const getAges = () => [
    state.configurationFreshness.getAge(getInstant()),
    state.endpointFreshness.getAge(getInstant()),
  ];
  return {
    state,
    beliefs: updater,
    relay: sync,
    sent,
    getInstant,
    getAges,
    setPeer: (other: typeof sync) => void (peer = other),
    holdReplies: () => void (held = []),
    deliverReplies() {
      const replies = held ?? [];
      held = null;
      for (const reply of replies) sync.handleReply(reply);
    },
  };
}

function createPair() {
  const clock = {time: 1000};
  const reader = createInstance(clock, 0);
  const requester = createInstance(clock, 50_000);
  requester.setPeer(reader.relay);
  return {clock, reader, requester};
}

test('an instance that never reached the store gets all state from a peer', async (t) => {
  const {clock, reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 400;
  t.true(await requester.relay.fetchState('reader'));
  t.deepEqual(requester.state.configuration, configuration(7));
  t.is(requester.state.directory.getUsable('desk').length, 1);
  t.deepEqual(requester.getAges(), [400, 400], 'as old as at the reader');
  t.true(reader.relay.hasRecentRequests());
});

test('a reply without state does not make the state fresher', async (t) => {
  const {requester} = createPair();
  t.true(await requester.relay.fetchState('reader'));
  t.is(requester.state.configuration, null);
  t.deepEqual(requester.getAges(), [Infinity, Infinity]);
});

test('state that the requester has is confirmed without sending it again', async (t) => {
  const {clock, reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await requester.relay.fetchState('reader');
  clock.time += 900;
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 10;
  const sentBefore = requester.sent.length;
  await requester.relay.fetchState('reader');
  const [reply, ...others] = requester.sent.slice(sentBefore);
  t.like(reply, {tag: 'beliefs', configuration: null, endpoints: null});
  t.deepEqual(others, []);
  t.deepEqual(requester.getAges(), [10, 10]);
});

test('older state of a peer is ignored and does not make the state fresher', async (t) => {
  const {clock, reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  clock.time += 500;
  requester.beliefs.applyConfiguration(
    configuration(8),
    requester.getInstant(),
  );
  requester.beliefs.applyEndpoints(
    [endpoint('x', true)],
    requester.getInstant(),
  );
  clock.time += 100;
  await requester.relay.fetchState('reader');
  t.is(requester.state.configuration?.version, 8);
  t.deepEqual(requester.state.directory.getUsable('desk'), []);
  t.deepEqual(requester.getAges(), [100, 100]);
});

test('the reader decides whether a registration has expired, not the requester', async (t) => {
  const {clock, reader, requester} = createPair();
  const both = [endpoint('x'), endpoint('y')];
  reader.beliefs.applyEndpoints(both, reader.getInstant());
  await requester.relay.fetchState('reader');
  requester.state.directory.recordOutage();
  clock.time += 300;
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await requester.relay.fetchState('reader');
  t.is(requester.state.directory.getUsable('desk').length, 1);

  reader.state.directory.recordOutage();
  clock.time += 300;
  reader.beliefs.applyEndpoints([], reader.getInstant());
  await requester.relay.fetchState('reader');
  t.is(
    requester.state.directory.getUsable('desk').length,
    1,
    'an endpoint with an expired registration stays',
  );
});

test('a fetch from a peer that does not reply times out quickly', async (t) => {
  const {requester} = createPair();
  requester.setPeer({
    fetchState: async () => false,
    waitForConfiguration: async () => undefined,
    hasRecentRequests: () => false,
    handleRequest() {},
    handleReply() {},
    handleDisconnected() {},
  });
  const startedAt = Date.now();
  t.false(await requester.relay.fetchState('reader'));
  t.true(Date.now() - startedAt < 1000);
});

test('a reply after the timeout is applied, with the age that it then has', async (t) => {
  const {clock, reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await requester.relay.fetchState('reader');
  clock.time += 100;
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  reader.beliefs.applyEndpoints([], reader.getInstant());
  requester.holdReplies();
  t.false(await requester.relay.fetchState('reader'));
  clock.time += 900;
  requester.deliverReplies();
  t.deepEqual(requester.state.directory.getUsable('desk'), []);
  t.deepEqual(requester.getAges(), [900, 900]);
});

test('a late reply does not confirm endpoints that changed since its request', async (t) => {
  const {clock, reader, requester} = createPair();
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  await requester.relay.fetchState('reader');
  clock.time += 300;
  reader.beliefs.applyEndpoints([endpoint('x')], reader.getInstant());
  requester.holdReplies();
  await requester.relay.fetchState('reader');
  clock.time += 100;
  // From another peer, whose list is older than that of the late reply.
  const {monotonic, wall} = requester.getInstant();
  requester.beliefs.applyPeerEndpoints([endpoint('x'), endpoint('y')], {
    monotonic: monotonic - 200,
    wall: wall - 200,
  });
  requester.deliverReplies();
  t.is(requester.getAges()[1], 200, 'as before the late reply');
});

const countTags = (frames: readonly Frame[], wanted: Frame['tag']): number =>
  frames.filter(({tag}) => tag === wanted).length;

test('a configuration is not requested again while it is being sent', async (t) => {
  const {reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  await requester.relay.fetchState('reader');
  reader.beliefs.applyConfiguration(configuration(8), reader.getInstant());
  const sentBefore = requester.sent.length;
  requester.holdReplies();
  await requester.relay.fetchState('reader');
  // Delivers the small reply, and holds the configuration that it announces.
  requester.deliverReplies();
  requester.holdReplies();
  await requester.relay.fetchState('reader');
  await requester.relay.fetchState('another');
  await requester.relay.waitForConfiguration();
  requester.deliverReplies();
  const sent = requester.sent.slice(sentBefore);
  t.is(countTags(sent, 'packedConfiguration'), 1);
  t.is(requester.state.configuration?.version, 8);
});

test('a configuration is requested elsewhere once its sender has disconnected', async (t) => {
  const {reader, requester} = createPair();
  reader.beliefs.applyConfiguration(configuration(7), reader.getInstant());
  requester.setPeer({
    ...reader.relay,
    handleRequest(connection, frame) {
      if (frame.tag === 'askBeliefs') {
        reader.relay.handleRequest(connection, frame);
      }
    },
  });
  await requester.relay.fetchState('lost');
  requester.setPeer(reader.relay);
  await requester.relay.fetchState('reader');
  t.is(requester.state.configuration, null, 'still expected from the other');
  requester.relay.handleDisconnected('lost');
  await requester.relay.fetchState('reader');
  t.is(requester.state.configuration?.version, 7);
});

test('a configuration that cannot be read is not applied', async (t) => {
  const {requester} = createPair();
  const contents = [
    Buffer.from('no compressed data'),
    deflateRawSync('{"version":9}'),
  ];
  for (const content of contents) {
    requester.setPeer({
      ...requester.relay,
      handleRequest(connection, frame) {
        if (frame.tag === 'askConfiguration') {
          const {askId} = frame;
          connection.send({tag: 'packedConfiguration', askId, content, age: 0});
        }
        if (frame.tag !== 'askBeliefs') return;
        connection.send({
          tag: 'beliefs',
          askId: frame.askId,
          version: 9,
          configuration: null,
          configurationAge: 0,
          endpoints: null,
          endpointsAge: null,
        });
      },
    });
    t.true(await requester.relay.fetchState('reader'));
    t.is(requester.state.configuration, null);
  }
});

test('orders to evacuate are passed on with their age, and an older list replaces none', async (t) => {
  const {clock, reader, requester} = createPair();
  await requester.relay.fetchState('reader');
  const {state, getInstant} = requester;
  t.is(state.evacuationFreshness.getAge(getInstant()), Infinity);
  requester.beliefs.applyEndpoints([endpoint('x')], requester.getInstant());
  reader.beliefs.applyEvacuations(['a'], reader.getInstant());
  clock.time += 400;
  await requester.relay.fetchState('reader');
  t.is(state.evacuationFreshness.getAge(getInstant()), 400);
  t.deepEqual(state.directory.getUsable('desk'), []);
  // The store confirms the end to the requester only.
  requester.beliefs.applyEvacuations([], requester.getInstant());
  t.is(state.directory.getUsable('desk').length, 1);
  clock.time += 100;
  await requester.relay.fetchState('reader');
  t.is(state.directory.getUsable('desk').length, 1);
  t.is(state.evacuationFreshness.getAge(getInstant()), 100);
  reader.beliefs.applyEvacuations(['a', 'c'], reader.getInstant());
  clock.time += 100;
  await requester.relay.fetchState('reader');
  t.deepEqual(state.evacuations?.list(), ['a', 'c']);
});

test('a frame with orders that can not be read is none', (t) => {
  const beliefs = {
    tag: 'beliefs',
    askId: 1,
    version: 1,
    configuration: null,
    configurationAge: 0,
    endpoints: null,
    endpointsAge: null,
  };
  const report = {failureDomains: ['a'], ageMilliseconds: 1};
  t.true(isFrame(beliefs), 'of an instance that knows of no evacuations');
  t.true(isFrame({...beliefs, evacuations: report}));
  const odd = fc.oneof(
    fc.anything().filter((value) => value !== undefined),
    fc.record({
      failureDomains: fc.array(fc.anything()),
      ageMilliseconds: fc.anything(),
    }),
  );
  fc.assert(
    fc.property(odd, (evacuations) => {
      if (!isFrame({...beliefs, evacuations})) return;
      const {failureDomains, ageMilliseconds} = evacuations as typeof report;
      t.true(failureDomains.every((name) => typeof name === 'string'));
      t.true(ageMilliseconds >= 0);
    }),
  );
});
