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

/** Records the events of the connections of one side. */
function createLog() {
  const connected: Connection[] = [];
  const disconnected: Connection[] = [];
  const frames: Frame[] = [];
  const errors: TransportError[] = [];
  return {
    connected,
    disconnected,
    frames,
    errors,
    handlers: {
      onConnected: (connection: Connection) => void connected.push(connection),
      onDisconnected: (connection: Connection) =>
        void disconnected.push(connection),
      onFrame: (_connection: Connection, frame: Frame) =>
        void frames.push(frame),
      onError: (error: TransportError) => void errors.push(error),
    },
  };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(5);
}

/** Listens with plain sockets, to simulate a misbehaving peer. */
async function listenPlain(
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

test('a peer with a newer protocol is refused, with both ranges in the error', async (t) => {
  const newer = {...HELLO, protocolMinimum: 2, protocolMaximum: 3} as Frame;
  const answers: Frame[] = [];
  const port = await listenPlain(t, (socket) => {
    const reader = createFrameReader('peer');
    socket.on('data', (bytes) =>
      answers.push(...reader.read(bytes)._unsafeUnwrap()),
    );
    socket.write(encodeFrame(newer));
  });
  const log = openClient(t, port);
  await waitFor(() => answers.some(({tag}) => tag === 'helloRefused'));
  t.is(log.errors[0]?.tag, 'protocolVersion');
  t.regex(log.errors[0]!.message, /2 to 3, this process 1 to 1/);
  t.is(log.connected.length, 0);
});

test('a server sends its protocol range to a peer with an older protocol', async (t) => {
  const server = await openServer(t);
  const socket = connect(server.port, ADDRESS);
  t.teardown(() => socket.destroy());
  const reader = createFrameReader('peer');
  const answers: Frame[] = [];
  socket.on('data', (bytes) =>
    answers.push(...reader.read(bytes)._unsafeUnwrap()),
  );
  socket.write(
    encodeFrame({...HELLO, protocolMinimum: 0, protocolMaximum: 0} as Frame),
  );
  await waitFor(() => answers.some(({tag}) => tag === 'helloRefused'));
  t.is(server.errors[0]?.tag, 'protocolVersion');
  t.is(server.connected.length, 0);
});

test('a process with another name at the address is refused', async (t) => {
  const server = await openServer(t, {identity: {...DESK, name: 'desk-2'}});
  const log = openClient(t, server.port);
  await waitFor(() => log.errors.length > 0);
  t.is(log.errors[0]?.tag, 'wrongPeer');
  t.is(log.connected.length, 0);
});

test('a peer that sends nothing is detected while heartbeats are sent to it', async (t) => {
  const port = await listenPlain(t, (socket) => {
    socket.resume();
    socket.write(encodeFrame(HELLO));
  });
  const log = openClient(t, port, {silenceTimeoutMilliseconds: 200});
  await waitFor(() => log.connected.length > 0);
  const heartbeatTimer = setInterval(
    () => log.connected[0]!.send(HEARTBEAT),
    20,
  );
  t.teardown(() => clearInterval(heartbeatTimer));
  await waitFor(() => log.disconnected.length > 0);
  t.is(log.errors[0]?.tag, 'peerSilent');
});

test('a process that sends bytes but never a hello is disconnected', async (t) => {
  const {port, errors, connected} = await openServer(t);
  const socket = connect(port, ADDRESS);
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('close', () => void (isClosed = true));
  const length = Buffer.alloc(4);
  // A length that a hello may have.
  length.writeUInt32BE(30_000, 0);
  socket.write(length);
  const timer = setInterval(() => {
    if (!isClosed) socket.write('x');
  }, 100);
  t.teardown(() => {
    clearInterval(timer);
    socket.destroy();
  });
  await sleep(3500);
  t.true(isClosed);
  t.is(connected.length, 0);
  t.is(errors[0]?.tag, 'peerSilent');
});

test('a frame that is longer than any hello is not read before one', async (t) => {
  const {port, errors, connected} = await openServer(t);
  const socket = connect(port, ADDRESS);
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('close', () => void (isClosed = true));
  const length = Buffer.alloc(4);
  length.writeUInt32BE(8_000_000, 0);
  socket.write(length);
  socket.resume();
  await waitFor(() => isClosed);
  t.is(connected.length, 0);
  t.is(errors[0]?.tag, 'frameTooLarge');
});

test('a lost connection is replaced by a new connection object', async (t) => {
  let accepted: Socket | null = null;
  const port = await listenPlain(t, (socket) => {
    accepted = socket;
    socket.resume();
    socket.write(encodeFrame(HELLO));
  });
  const log = openClient(t, port);
  await waitFor(() => log.connected.length === 1);
  accepted!.resetAndDestroy();
  await waitFor(() => log.connected.length === 2);
  t.is(log.disconnected.length, 1);
  t.is(log.disconnected[0], log.connected[0]);
  t.not(log.connected[0], log.connected[1]);
});

test('garbage and truncated frames close only their own connection', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  await waitFor(() => server.connected.length === 1);
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
  server.connected[0]!.send(HEARTBEAT);
  await waitFor(() => log.frames.length === 1);
  t.is(server.connected.length, 1);
  t.is(server.disconnected.length, 0);
});

test('a peer that does not read is disconnected and blocks no other', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  const slow = connect(server.port, ADDRESS);
  slow.pause();
  slow.on('error', () => slow.destroy());
  t.teardown(() => slow.destroy());
  slow.write(encodeFrame({...HELLO, identity: {...ENTRY, name: 'slow'}}));
  await waitFor(() => server.connected.length === 2);
  const slowSide = server.connected.find(({peer}) => peer.name === 'slow')!;
  const quickSide = server.connected.find(
    ({peer}) => peer.name === ENTRY.name,
  )!;
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
  await waitFor(() => server.disconnected.includes(slowSide));
  t.is(server.errors[0]?.tag, 'peerReadsTooSlowly');
  t.true(sent < 64);
});

test('a frame that exceeds the limit is not sent, and the connection stays', async (t) => {
  const server = await openServer(t);
  const log = openClient(t, server.port);
  await waitFor(() => server.connected.length === 1);
  const tokens = ['x'.repeat(9 * 1024 * 1024)];
  const key = {requestId: 'r', stageIndex: 0, attemptId: 'a'};
  t.false(
    server.connected[0]!.send({tag: 'tokens', ...key, position: 0, tokens}),
  );
  t.true(server.connected[0]!.send(HEARTBEAT));
  await waitFor(() => log.frames.length === 1);
  t.is(log.disconnected.length, 0);
});

function loadCredentials(name: string) {
  const directory = path.join(import.meta.dirname, 'certificates');
  return loadTlsCredentials({
    certificateFile: path.join(directory, `${name}.pem`),
    keyFile: path.join(directory, `${name}.key.pem`),
    authorityFile: path.join(directory, 'authority.pem'),
  })._unsafeUnwrap();
}

test('with TLS, processes with the same authority exchange frames', async (t) => {
  const credentials = loadCredentials('process');
  const server = await openServer(t, {credentials});
  const log = openClient(t, server.port, {credentials});
  await waitFor(
    () => server.connected.length === 1 && log.connected.length === 1,
  );
  log.connected[0]!.send(HEARTBEAT);
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
    t.is(server.connected.length + log.connected.length, 0);
  });
}

test('the error names a TLS file that cannot be read', (t) => {
  const files = {certificateFile: '/none.pem', keyFile: '', authorityFile: ''};
  const error = loadTlsCredentials(files)._unsafeUnwrapErr();
  t.regex(error.message, /none\.pem/);
});

test('an empty [tls] section means plain TCP', (t) => {
  const files = {certificateFile: '', keyFile: '', authorityFile: ''};
  t.is(loadTlsCredentials(files)._unsafeUnwrap(), null);
});
