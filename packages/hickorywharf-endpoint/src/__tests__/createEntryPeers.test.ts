import test from 'ava';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import {sleep} from 'hickorywharf-utils/sleep';
import {createEntryPeers} from '../createEntryPeers.ts';

const OUTCOME: Frame = {
  tag: 'failed',
  requestId: 'r',
  stageIndex: 0,
  attemptId: 'a',
  outcome: 'unknown',
  conflict: false,
  message: '',
};

function createConnection(incarnation: string) {
  const sent: Frame[] = [];
  const connection: Connection = {
    peer: {name: 'entry-1', incarnation, role: 'entry', failureDomain: 'a'},
    send: (frame) => sent.push(frame) > 0,
    sendEncoded: () => false,
  };
  return {connection, sent};
}

function createHarness() {
  const removed: string[] = [];
  let now = 0;
  const peers = createEntryPeers({
    onPeerRemoved: (incarnation) => void removed.push(incarnation),
    getNow: () => now,
  });
  return {
    peers,
    removed,
    waitUntil(time: number) {
      now = time;
    },
  };
}

test("closing an entry's old connection does not affect its new one", async (t) => {
  const {peers, removed} = createHarness();
  const old = createConnection('1');
  const current = createConnection('1');
  peers.add(old.connection);
  peers.add(current.connection);
  t.false(peers.remove(old.connection));
  peers.send('1', OUTCOME, 1000);
  t.deepEqual(current.sent, [OUTCOME]);
  // Longer than the silence timeout after which a peer is removed.
  await sleep(3100);
  t.deepEqual(removed, []);
});

test('an entry that restarts under its name is a different peer', async (t) => {
  const {peers, removed} = createHarness();
  const previous = createConnection('1');
  const restarted = createConnection('2');
  peers.add(previous.connection);
  peers.add(restarted.connection);
  t.true(peers.remove(previous.connection));
  peers.send('1', OUTCOME, 1000);
  t.deepEqual(restarted.sent, []);
  await sleep(3100);
  t.deepEqual(removed, ['1']);
});

test('an entry that reconnects in time is not lost', async (t) => {
  const {peers, removed} = createHarness();
  const {connection} = createConnection('1');
  peers.add(connection);
  t.true(peers.remove(connection));
  peers.add(createConnection('1').connection);
  await sleep(3100);
  t.deepEqual(removed, []);
});

test('an outcome is undelivered until its entry reconnects or its deadline passes', (t) => {
  const {peers, waitUntil} = createHarness();
  peers.send('1', OUTCOME, 1000);
  t.true(peers.hasUndelivered());
  peers.add(createConnection('1').connection);
  peers.send('1', OUTCOME, 1000);
  t.false(peers.hasUndelivered());
  peers.send('2', OUTCOME, 1000);
  waitUntil(1000);
  t.false(peers.hasUndelivered());
});
