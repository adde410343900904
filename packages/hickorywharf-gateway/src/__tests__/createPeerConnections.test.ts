import {createServer} from 'node:net';
import test from 'ava';
import {findFreePorts} from 'hickorywharf-bench/deployment/findFreePorts';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {sleep} from 'hickorywharf-utils/sleep';
import {createMemoryBudget} from '../createMemoryBudget.ts';
import {createPeerConnections} from '../createPeerConnections.ts';

const HOST = '127.0.0.1';

type Options = Parameters<typeof createPeerConnections>[0];

function createConnections(
  name: string,
  options: Partial<Options>,
): ReturnType<typeof createPeerConnections> {
  return createPeerConnections({
    identity: {
      name,
      incarnation: `${name}-1`,
      role: 'entry',
      failureDomain: 'a',
    },
    listen: {host: HOST, port: 0},
    seeds: [],
    log: {infoAlways() {}, infoRateLimited() {}},
    memory: createMemoryBudget({maximumBytes: 33_554_432, now: () => 0}),
    maximumConnections: 64,
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
    ...options,
  });
}

test('an instance that has closed its connections makes no more', async (t) => {
  let accepted = 0;
  const peer = createServer((socket) => {
    accepted += 1;
    socket.destroy();
  });
  const port = await listenOn(peer, {host: HOST, port: 0});
  t.teardown(() => void peer.close());
  const connections = createConnections('front-1', {
    seeds: [{host: HOST, port}],
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

test('an idle connection carries few heartbeats, and stays', async (t) => {
  const [port] = await findFreePorts(HOST, 1);
  let requests = 0;
  let replies = 0;
  let disconnections = 0;
  const server = createConnections('front-2', {
    listen: {host: HOST, port: port!},
    onRequest: () => void (requests += 1),
    onRequesterDisconnected: () => void (disconnections += 1),
  });
  const client = createConnections('front-1', {
    onReply: () => void (replies += 1),
  });
  await Promise.all([server.listen(), client.listen()]);
  t.teardown(() => Promise.all([server.close(), client.close()]));
  client.setInstances([
    {name: 'front-2', host: HOST, port: port!, failureDomain: 'a', capacity: 1},
  ]);
  while (!client.isConnected('front-2')) await sleep(10);
  [requests, replies] = [0, 0];
  await sleep(2000);
  // Several within the time after which a silent peer counts as lost, and no
  // more: with tens of peers they are most of the work of an idle instance.
  for (const count of [requests, replies]) {
    t.true(count >= 3 && count <= 10, `${count} heartbeats in 2 s`);
  }
  t.is(disconnections, 0);
});

// Guards against attempts that go on at the old address of an instance that
// came back at another one before it had left the list.
test('an instance that is listed at another address is connected to there', async (t) => {
  const [oldPort, newPort] = await findFreePorts(HOST, 2);
  const server = createConnections('front-2', {
    listen: {host: HOST, port: newPort!},
  });
  const client = createConnections('front-1', {});
  await Promise.all([server.listen(), client.listen()]);
  t.teardown(() => Promise.all([server.close(), client.close()]));
  const instance = {
    name: 'front-2',
    host: HOST,
    failureDomain: 'a',
    capacity: 1,
  };
  client.setInstances([{...instance, port: oldPort!}]);
  t.false(client.isConnected('front-2'));
  client.setInstances([{...instance, port: newPort!}]);
  const end = performance.now() + 5000;
  while (!client.isConnected('front-2') && performance.now() < end) {
    await sleep(10);
  }
  t.true(client.isConnected('front-2'));
});

// Guards against requests to a seed that are lost since each list without other
// instances closes its connection.
test('a connection to a seed lasts until another instance is listed', async (t) => {
  const [port] = await findFreePorts(HOST, 1);
  const seed = `${HOST}:${port}`;
  let disconnections = 0;
  const server = createConnections('front-2', {
    listen: {host: HOST, port: port!},
  });
  const client = createConnections('front-1', {
    seeds: [{host: HOST, port: port!}],
    onDisconnected: () => void (disconnections += 1),
  });
  await Promise.all([server.listen(), client.listen()]);
  t.teardown(() => Promise.all([server.close(), client.close()]));
  while (client.findSeed() === undefined) await sleep(10);
  for (let count = 0; count < 3; count += 1) {
    client.setInstances([]);
    await sleep(100);
    t.is(client.findSeed(), seed);
  }
  t.is(disconnections, 0);
  client.setInstances([
    {name: 'front-2', host: HOST, port: port!, failureDomain: 'a', capacity: 1},
  ]);
  t.is(client.findSeed(), undefined);
  while (disconnections === 0) await sleep(10);
  t.pass();
});
