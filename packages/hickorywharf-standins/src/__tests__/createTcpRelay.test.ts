import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import path from 'node:path';
import {promisify} from 'node:util';
import test from 'ava';
import {createLink} from '../createLink.ts';
import type {Link} from '../link.ts';
import {createTcpRelay} from '../createTcpRelay.ts';

const ADDRESS = '127.0.0.1';

async function connectToEcho(
  t: {teardown(end: () => void): void},
  downlink?: Link,
) {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.pipe(socket);
  });
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  const relay = await createTcpRelay({
    address: ADDRESS,
    delayMilliseconds: 50,
    ...(downlink && {downlink}),
  });
  relay.setTarget((server.address() as AddressInfo).port);
  t.teardown(() => {
    relay.close();
    server.close();
  });
  const socket = connect(relay.port, ADDRESS);
  await once(socket, 'connect');
  return {relay, socket};
}

async function readNext(socket: Socket): Promise<string> {
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString();
}

test('bytes are forwarded, with a delay in mode `delay`', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  socket.write('one');
  t.is(await readNext(socket), 'one');
  relay.setMode('delay');
  socket.write('two');
  t.is(await readNext(socket), 'two');
});

test('held bytes are delivered once the mode is `pass` again', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  relay.setMode('hold');
  socket.write('held');
  const next = readNext(socket);
  relay.setMode('pass');
  t.is(await next, 'held');
});

test('mode `hold` lets a number of bytes through in each direction', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  relay.setMode('hold', 5);
  socket.write('one');
  t.is(await readNext(socket), 'one');
  socket.write('more');
  t.is(await readNext(socket), 'mo');
  const next = readNext(socket);
  relay.setMode('pass');
  t.is(await next, 're');
});

test('a reset ends the connection with an error', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  socket.write('one');
  await readNext(socket);
  const failed = once(socket, 'error') as Promise<[NodeJS.ErrnoException]>;
  relay.reset();
  const [{code}] = await failed.catch((error) => [error]);
  t.is(code, 'ECONNRESET');
});

test('a half-close ends one direction of a connection', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  socket.write('one');
  await readNext(socket);
  const ended = once(socket, 'end');
  relay.halfClose('client');
  await ended;
  t.true(socket.readableEnded);
});

test('a link delivers no more than its bandwidth allows', async (t) => {
  const link = createLink(100_000);
  const {socket} = await connectToEcho(t, link);
  const startedAt = performance.now();
  socket.write(Buffer.alloc(30_000));
  let received = 0;
  while (received < 30_000) {
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    received += bytes.length;
  }
  t.true(performance.now() - startedAt >= 290);
  t.is(link.sentBytes, 30_000);
});

test('a slow link delivers the first bytes before the last ones are sent', async (t) => {
  const {socket} = await connectToEcho(t, createLink(10_000));
  const startedAt = performance.now();
  socket.write(Buffer.alloc(20_000));
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  t.true(bytes.length < 20_000);
  t.true(performance.now() - startedAt < 1000);
});

test('a reset right after data is forwarded as a reset, not as an end', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.write('part');
    socket.resetAndDestroy();
  });
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  const relay = await createTcpRelay({address: ADDRESS, delayMilliseconds: 50});
  relay.setTarget((server.address() as AddressInfo).port);
  t.teardown(() => {
    relay.close();
    server.close();
  });
  for (let count = 0; count < 20; count += 1) {
    const socket = connect(relay.port, ADDRESS);
    const closed = once(socket, 'end').then(() => 'end');
    const failed = new Promise((resolve) => socket.once('error', resolve));
    socket.pause();
    setTimeout(() => socket.resume(), 20);
    const outcome = await Promise.race([
      closed.catch(() => 'error'),
      failed.then(() => 'error'),
    ]);
    t.is(outcome, 'error');
  }
});

// In a process of its own, as a thread with a socket left open never ends.
test('a reset right after an end is forwarded, and the process can end', async (t) => {
  const program = path.join(import.meta.dirname, 'relayEndWithReset.ts');
  const {stdout} = await promisify(execFile)(process.execPath, [program], {
    timeout: 20_000,
    killSignal: 'SIGKILL',
  });
  // The server notices by a write, before or after the reset is read.
  t.true(['ECONNRESET', 'EPIPE'].includes(stdout.trim()), stdout);
});

test('a stopped relay refuses connections until it starts at its port', async (t) => {
  const {relay, socket} = await connectToEcho(t);
  const failed = new Promise((resolve) => socket.once('error', resolve));
  relay.stop();
  await failed;
  const refused = connect(relay.port, ADDRESS);
  const error = await new Promise<NodeJS.ErrnoException>((resolve) =>
    refused.once('error', resolve),
  );
  t.is(error.code, 'ECONNREFUSED');
  const other = createServer();
  other.listen(relay.port, ADDRESS);
  await once(other, 'listening');
  const started = relay.start();
  setTimeout(() => other.close(), 100);
  await started;
  const accepted = connect(relay.port, ADDRESS);
  accepted.write('one');
  t.is(await readNext(accepted), 'one');
});
