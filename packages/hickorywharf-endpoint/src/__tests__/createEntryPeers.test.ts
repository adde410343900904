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
  };
  return {connection, sent};
}

function createHarness() {
  const gone: string[] = [];
  let now = 0;
  const peers = createEntryPeers({
    onGone: (incarnation) => void gone.push(incarnation),
    getNow: () => now,
  });
  return {
    peers,
    gone,
    waitUntil(time: number) {
      now = time;
    },
  };
}

test("an entry's old connection ends without harm to its new one", async (t) => {
  const {peers, gone} = createHarness();
  const old = createConnection('1');
  const anew = createConnection('1');
  peers.add(old.connection);
  peers.add(anew.connection);
  t.false(peers.remove(old.connection));
  peers.send('1', OUTCOME, 1000);
  t.deepEqual(anew.sent, [OUTCOME]);
  // Longer than a lost peer is waited for.
  await sleep(3100);
  t.deepEqual(gone, []);
});

test('an entry that came back under its name is another peer', async (t) => {
  const {peers, gone} = createHarness();
  const dead = createConnection('1');
  const alive = createConnection('2');
  peers.add(dead.connection);
  peers.add(alive.connection);
  t.true(peers.remove(dead.connection));
  peers.send('1', OUTCOME, 1000);
  t.deepEqual(alive.sent, []);
  await sleep(3100);
  t.deepEqual(gone, ['1']);
});

test('an entry that reconnects in time is not gone', async (t) => {
  const {peers, gone} = createHarness();
  const {connection} = createConnection('1');
  peers.add(connection);
  t.true(peers.remove(connection));
  peers.add(createConnection('1').connection);
  await sleep(3100);
  t.deepEqual(gone, []);
});

test('an outcome is undelivered until its entry is back or its time is over', (t) => {
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
