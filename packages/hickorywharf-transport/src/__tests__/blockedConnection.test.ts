import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {sleep} from 'hickorywharf-utils/sleep';
import {createPeerClient} from '../createPeerClient.ts';
import {encodeFrame} from '../encodeFrame.ts';

const ADDRESS = '127.0.0.1';
const SILENCE_MILLISECONDS = 200;

const createIdentity = (name: string): ProcessIdentity => ({
  name,
  incarnation: name,
  role: 'entry',
  failureDomain: 'a',
});

test('a peer whose bytes arrived while this process was blocked does not count as silent', async (t) => {
  const accepted = Promise.withResolvers<Socket>();
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.resume();
    socket.write(
      encodeFrame({
        tag: 'hello',
        protocolMinimum: 1,
        protocolMaximum: 1,
        identity: createIdentity('entry-2'),
      }),
    );
    accepted.resolve(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  t.teardown(() => server.close());
  const errors: string[] = [];
  let frames = 0;
  const connected = Promise.withResolvers<void>();
  const client = createPeerClient({
    name: 'entry-2',
    address: ADDRESS,
    port: (server.address() as AddressInfo).port,
    identity: createIdentity('entry-1'),
    silenceTimeoutMilliseconds: SILENCE_MILLISECONDS,
    random: () => 0,
    handlers: {
      onConnected: () => connected.resolve(),
      onDisconnected() {},
      onFrame: () => void (frames += 1),
      onError: ({tag}) => void errors.push(tag),
    },
  });
  t.teardown(() => client.close());
  const socket = await accepted.promise;
  t.teardown(() => socket.destroy());
  await connected.promise;
  socket.write(
    encodeFrame({
      tag: 'heartbeat',
      leaving: false,
      load: null,
      configurationSequence: 0,
    }),
  );
  const end = performance.now() + 2 * SILENCE_MILLISECONDS;
  while (performance.now() < end);
  await sleep(SILENCE_MILLISECONDS / 2);
  t.deepEqual([frames, errors], [1, []]);
});
