import test from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import {createConfigurationReplica} from '../createConfigurationReplica.ts';

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;

const entry = (sequence: number) => ({
  sequence,
  operation: `operation-${sequence}`,
  changes: [],
});

const heartbeat = (configurationSequence: number): Frame => ({
  tag: 'heartbeat',
  leaving: false,
  load: null,
  configurationSequence,
});

/** A replica with connected peers, and the times of the frames sent to them. */
function createReplica(
  relay: Parameters<typeof createConfigurationReplica>[0]['relay'],
  ...peers: readonly string[]
) {
  const clock = {now: 0};
  const sent: Array<{at: number; peer: string; tag: Frame['tag']}> = [];
  const replica = createConfigurationReplica({
    onConfigurationChange() {},
    now: () => clock.now,
    relay,
  });
  for (const peer of peers) {
    replica.addPeer(peer, ({tag}) => {
      sent.push({at: clock.now, peer, tag});
      return true;
    });
  }
  sent.length = 0;
  const listTimes = (tag: Frame['tag']): number[] =>
    sent.filter((frame) => frame.tag === tag).map(({at}) => at);
  return {clock, replica, sent, listTimes};
}

test('a configuration that takes long to arrive is requested less and less often', (t) => {
  const {clock, replica, listTimes} = createReplica('announce', 'x', 'y', 'z');
  for (; clock.now <= 6000; clock.now += HEARTBEAT_INTERVAL_MILLISECONDS) {
    for (const peer of ['x', 'y', 'z']) {
      replica.handleFrame(peer, heartbeat(5));
    }
  }
  t.deepEqual(listTimes('fetchConfiguration'), [0, 500, 1500, 3000, 5500]);
});

test('announcements of further changes do not repeat a request in flight', (t) => {
  const {clock, replica, sent} = createReplica('announce', 'x', 'y');
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    clock.now += 20;
    replica.handleFrame('x', {tag: 'configurationAt', sequence});
    replica.handleFrame('y', {tag: 'configurationAt', sequence});
  }
  t.is(sent.length, 1);
  replica.handleFrame('x', {
    tag: 'configuration',
    entries: [entry(1), entry(2)],
  });
  t.is(sent.length, 2, 'the rest is requested as soon as a part has arrived');
  t.like(sent[1], {tag: 'fetchConfiguration'});
});

test('a lost request is repeated at another peer', (t) => {
  const {clock, replica, sent} = createReplica('announce', 'x', 'y');
  replica.handleFrame('x', heartbeat(1));
  replica.removePeer('x');
  clock.now += 20;
  replica.handleFrame('y', heartbeat(1));
  t.deepEqual(
    sent.map(({peer}) => peer),
    ['x', 'y'],
  );
});

test('an update that takes long to arrive is pushed less and less often', (t) => {
  const {clock, replica, listTimes} = createReplica('push', 'x');
  replica.receiveEntries([entry(1)]);
  for (; clock.now <= 6000; clock.now += HEARTBEAT_INTERVAL_MILLISECONDS) {
    replica.handleFrame('x', heartbeat(0));
  }
  t.deepEqual(listTimes('configuration'), [0, 500, 1500, 3000, 5500]);
});
