import net from 'node:net';
import test from 'ava';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {createEndpointClient} from '../createEndpointClient.ts';

const HOST = '127.0.0.1';
const REPETITIONS = 20;
/** More than the buffers of both sockets hold. */
const UPLOAD_BYTES = 16_000_000;
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nhalf';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf';

const wire = {
  parseResponseHead: (status: number) => ({status}) as ResponseHead,
} as unknown as GatewayWireFormat;
const log = {infoRateLimited: () => undefined, infoAlways: () => undefined};

/** Answers as soon as the upload begins, and reads no more of it. */
async function upload(
  answer: (socket: net.Socket) => void,
): Promise<readonly string[]> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({allowHalfOpen: true}, (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as net.AddressInfo;
  const client = createEndpointClient(wire, log);
  const results: string[] = [];
  for (let count = 0; count < REPETITIONS; count += 1) {
    const result = await new Promise<string>((resolve) => {
      client.send({
        host: HOST,
        port,
        method: 'POST',
        path: '/',
        requestId: null,
        headers: ['Host', 'x', 'Content-Length', String(UPLOAD_BYTES)],
        body: Buffer.alloc(UPLOAD_BYTES),
        needsNewConnection: true,
        isExclusive: false,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve('complete'),
        onFailure: ({tag}) => resolve(tag),
      });
    });
    results.push(result);
  }
  client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return results;
}

const ALL_UNKNOWN = new Array<string>(REPETITIONS).fill('unknown');
const RESET_DELAY_MILLISECONDS = 5;

test('an answer without a length to an upload that is reset is not whole', async (t) => {
  const results = await upload((socket) => {
    socket.write(UNFRAMED, () => socket.resetAndDestroy());
  });
  t.deepEqual(results, ALL_UNKNOWN);
});

test('an answer without a length that ends within the upload, and is then reset, is not whole', async (t) => {
  const results = await upload((socket) => {
    socket.end(UNFRAMED);
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS);
  });
  t.deepEqual(results, ALL_UNKNOWN);
});

test('an answer without a length that ends within an upload that is read on is whole', async (t) => {
  const results = await upload((socket) => {
    socket.end(UNFRAMED);
    setTimeout(() => socket.resume(), RESET_DELAY_MILLISECONDS);
  });
  t.deepEqual(results, new Array<string>(REPETITIONS).fill('complete'));
});

test('an answer with a length to an upload is whole, whatever follows it', async (t) => {
  const results = await upload((socket) => void socket.write(FRAMED));
  t.deepEqual(results, new Array<string>(REPETITIONS).fill('complete'));
});
