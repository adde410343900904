import {createServer} from 'node:net';
import test from 'ava';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {sleep} from 'hickorywharf-utils/sleep';
import {createPeerConnections} from '../createPeerConnections.ts';

const HOST = '127.0.0.1';

test('an instance that has closed its connections makes no more', async (t) => {
  let accepted = 0;
  const peer = createServer((socket) => {
    accepted += 1;
    socket.destroy();
  });
  const port = await listenOn(peer, {host: HOST, port: 0});
  t.teardown(() => void peer.close());
  const connections = createPeerConnections({
    identity: {
      name: 'front-1',
      incarnation: 'f1',
      role: 'entry',
      failureDomain: 'a',
    },
    listen: {host: HOST, port: 0},
    seeds: [{host: HOST, port}],
    log: {infoAlways() {}, infoRateLimited() {}},
    random: () => 0,
    getStatusFrame: () => ({
      tag: 'heartbeat',
      leaving: false,
      load: null,
      configurationSequence: 0,
    }),
    getHeartbeatFields: () => ({}),
    getFirstFields: () => ({}),
    onRequest() {},
    onRequesterDisconnected() {},
    onReply() {},
    onDisconnected() {},
  });
  await connections.listen();
  await connections.close();

  // As reads that were in flight do when their results arrive.
  connections.findSeed();
  connections.setInstances([
    {name: 'front-2', host: HOST, port, failureDomain: 'a', capacity: 1},
  ]);
  t.false(connections.isConnected('front-2'));
  await sleep(300);
  t.is(accepted, 0);
});
