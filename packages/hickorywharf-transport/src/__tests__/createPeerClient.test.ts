import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {sleep} from 'hickorywharf-utils/sleep';
import type {Connection} from '../connection.ts';
import {createFrameReader} from '../createFrameReader.ts';
import {createPeerClient} from '../createPeerClient.ts';
import {createPeerServer} from '../createPeerServer.ts';
import {encodeFrame} from '../encodeFrame.ts';
import {loadTlsCredentials} from '../loadTlsCredentials.ts';
import type {TransportError} from '../transportError.ts';

const ADDRESS = '127.0.0.1';
const ENTRY: ProcessIdentity = {
  name: 'entry-1',
  incarnation: 'e1',
  role: 'entry',
  failureDomain: 'a',
};
const DESK: ProcessIdentity = {
  name: 'desk-1',
  incarnation: 'd1',
  role: 'endpoint',
  failureDomain: 'a',
};
const HELLO: Frame = {
  tag: 'hello',
  protocolMinimum: 1,
  protocolMaximum: 1,
  identity: DESK,
};
const HEARTBEAT: Frame = {
  tag: 'heartbeat',
  leaving: false,
  load: null,
  configurationSequence: 0,
};

/** What one end saw of its connections. */
function createLog() {
  const up: Connection[] = [];
  const down: Connection[] = [];
  const frames: Frame[] = [];
  const errors: TransportError[] = [];
  return {
    up,
    down,
    frames,
    errors,
    handlers: {
      onConnected: (connection: Connection) => void up.push(connection),
      onDisconnected: (connection: Connection) => void down.push(connection),
      onFrame: (_connection: Connection, frame: Frame) =>
        void frames.push(frame),
      onError: (error: TransportError) => void errors.push(error),
    },
  };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(5);
}

/** Listens with bare sockets, to play a peer that does not behave. */
async function listenBare(
  t: ExecutionContext,
  onSocket: (socket: Socket) => void,
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return (server.address() as AddressInfo).port;
}

function openClient(
  t: ExecutionContext,
  port: number,
  changes: Partial<Parameters<typeof createPeerClient>[0]> = {},
) {
  const log = createLog();
  const client = createPeerClient({
    name: DESK.name,
    address: ADDRESS,
    port,
    identity: ENTRY,
    handlers: log.handlers,
    random: () => 0,
    ...changes,
  });
  t.teardown(() => client.close());
  return log;
}

async function openServer(
  t: ExecutionContext,
  changes: Partial<Parameters<typeof createPeerServer>[0]> = {},
) {
  const log = createLog();
  const server = await createPeerServer({
    address: ADDRESS,
    port: 0,
    identity: DESK,
    handlers: log.handlers,
    ...changes,
  });
  t.teardown(() => server.close());
  return {...log, port: server.port};
}

test('a peer of a newer protocol is refused with both ranges named', async (t) => {
  const newer = {...HELLO, protocolMinimum: 2, protocolMaximum: 3} as Frame;
  const answers: Frame[] = [];
  const port = await listenBare(t, (socket) => {
    const reader = createFrameReader('bare');
    socket.on('data', (bytes) =>
      answers.push(...reader.read(bytes)._unsafeUnwrap()),
    );
    socket.write(encodeFrame(newer));
  });
  const log = openClient(t, port);
  await waitFor(() => answers.some(({tag}) => tag === 'helloRefused'));
  t.is(log.errors[0]?.tag, 'protocolVersion');
  t.regex(log.errors[0]!.message, /2 to 3, this process 1 to 1/);
  t.is(log.up.length, 0);
});

test('a peer of an older protocol is told why by the server', async (t) => {
  const server = await openServer(t);
  const socket = connect(server.port, ADDRESS);
  t.teardown(() => socket.destroy());
  const reader = createFrameReader('bare');
  const answers: Frame[] = [];
  socket.on('data', (bytes) =>
    answers.push(...reader.read(bytes)._unsafeUnwrap()),
  );
  socket.write(
    encodeFrame({...HELLO, protocolMinimum: 0, protocolMaximum: 0} as Frame),
  );
  await waitFor(() => answers.some(({tag}) => tag === 'helloRefused'));
  t.is(server.errors[0]?.tag, 'protocolVersion');
  t.is(server.up.length, 0);
});

test('another process at the address is not taken for the peer', async (t) => {
  const server = await openServer(t, {identity: {...DESK, name: 'desk-2'}});
  const log = openClient(t, server.port);
  await waitFor(() => log.errors.length > 0);
  t.is(log.errors[0]?.tag, 'wrongPeer');
  t.is(log.up.length, 0);
});

test('a silent peer is noticed though heartbeats are written to it', async (t) => {
  const port = await listenBare(t, (socket) => {
    socket.resume();
    socket.write(encodeFrame(HELLO));
  });
  const log = openClient(t, port, {silenceTimeoutMilliseconds: 200});
  await waitFor(() => log.up.length > 0);
  const beater = setInterval(() => log.up[0]!.send(HEARTBEAT), 20);
  t.teardown(() => clearInterval(beater));
  await waitFor(() => log.down.length > 0);
  t.is(log.errors[0]?.tag, 'peerSilent');
});

test('a lost connection is made anew, and its end is told apart', async (t) => {
  let accepted: Socket | null = null;
  const port = await listenBare(t, (socket) => {
    accepted = socket;
    socket.resume();
    socket.write(encodeFrame(HELLO));
  });
  const log = openClient(t, port);
  await waitFor(() => log.up.length === 1);
  accepted!.resetAndDestroy();
  await waitFor(() => log.up.length === 2);
  t.is(log.down.length, 1);
  t.is(log.down[0], log.up[0]);
  t.not(log.up[0], log.up[1]);
});

test('garbage and cut frames end one connection and no other', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  await waitFor(() => server.up.length === 1);
  const whole = encodeFrame(HELLO);
  const pieces = [
    Buffer.from('GET / HTTP/1.1\r\n\r\n'),
    Buffer.alloc(64, 0xff),
    whole.subarray(0, whole.length - 3),
  ];
  for (const bytes of pieces) {
    const socket = connect(server.port, ADDRESS);
    socket.on('error', () => socket.destroy());
    socket.resume();
    socket.end(bytes);
    await new Promise((resolve) => socket.once('close', resolve));
  }
  server.up[0]!.send(HEARTBEAT);
  await waitFor(() => log.frames.length === 1);
  t.is(server.up.length, 1);
  t.is(server.down.length, 0);
});

test('a peer that reads nothing is cut and blocks no other', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  const slow = connect(server.port, ADDRESS);
  slow.pause();
  slow.on('error', () => slow.destroy());
  t.teardown(() => slow.destroy());
  slow.write(encodeFrame({...HELLO, identity: {...ENTRY, name: 'slow'}}));
  await waitFor(() => server.up.length === 2);
  const slowSide = server.up.find(({peer}) => peer.name === 'slow')!;
  const quickSide = server.up.find(({peer}) => peer.name === ENTRY.name)!;
  const bulk: Frame = {
    tag: 'tokens',
    requestId: 'r',
    stageIndex: 0,
    attemptId: 'a',
    position: 0,
    tokens: ['x'.repeat(1024 * 1024)],
  };
  let sent = 0;
  while (slowSide.send(bulk)) sent += 1;
  quickSide.send(HEARTBEAT);
  await waitFor(() => log.frames.length === 1);
  await waitFor(() => server.down.includes(slowSide));
  t.is(server.errors[0]?.tag, 'peerReadsTooSlowly');
  t.true(sent < 64);
});

test('a frame over the limit is not written, and the connection stays', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  await waitFor(() => server.up.length === 1);
  const tokens = ['x'.repeat(9 * 1024 * 1024)];
  const key = {requestId: 'r', stageIndex: 0, attemptId: 'a'};
  t.false(server.up[0]!.send({tag: 'tokens', ...key, position: 0, tokens}));
  t.true(server.up[0]!.send(HEARTBEAT));
  await waitFor(() => log.frames.length === 1);
  t.is(log.down.length, 0);
});

function loadCredentials(name: string) {
  const directory = path.join(import.meta.dirname, 'certificates');
  return loadTlsCredentials({
    certificateFile: path.join(directory, `${name}.pem`),
    keyFile: path.join(directory, `${name}.key.pem`),
    authorityFile: path.join(directory, 'authority.pem'),
  })._unsafeUnwrap();
}

test('with TLS, frames pass between processes of one authority', async (t) => {
  const credentials = loadCredentials('process');
  const server = await openServer(t, {credentials});
  const log = openClient(t, server.port, {credentials});
  await waitFor(() => server.up.length === 1 && log.up.length === 1);
  log.up[0]!.send(HEARTBEAT);
  await waitFor(() => server.frames.length === 1);
  t.deepEqual(server.frames, [HEARTBEAT]);
});

for (const [title, credentials] of [
  ['signed by another authority', loadCredentials('stranger')],
  ['without TLS', null],
] as const) {
  test(`with TLS, a peer ${title} is refused`, async (t) => {
    const server = await openServer(t, {
      credentials: loadCredentials('process'),
    });
    const log = openClient(t, server.port, {credentials});
    await waitFor(() => server.errors.length > 0);
    t.is(server.errors[0]?.tag, 'secureConnection');
    t.is(server.up.length + log.up.length, 0);
  });
}

test('a TLS file that cannot be read is named', (t) => {
  const files = {certificateFile: '/none.pem', keyFile: '', authorityFile: ''};
  const error = loadTlsCredentials(files)._unsafeUnwrapErr();
  t.regex(error.message, /none\.pem/);
});

test('an empty [tls] section means plain TCP', (t) => {
  const files = {certificateFile: '', keyFile: '', authorityFile: ''};
  t.is(loadTlsCredentials(files)._unsafeUnwrap(), null);
});
