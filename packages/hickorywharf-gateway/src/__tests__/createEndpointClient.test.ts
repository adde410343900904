import net from 'node:net';
import test from 'ava';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {createEndpointClient} from '../createEndpointClient.ts';

const wire = {
  parseResponseHead: (status: number): ResponseHead => ({
    status,
    requestId: null,
    isSigned: true,
    isNotRun: false,
    isEncoded: false,
    isEventStream: false,
    isMisdirected: false,
    rateLimit: {tag: 'none'},
    headers: [],
  }),
} as unknown as GatewayWireFormat;

type RequestHandler = (socket: net.Socket, count: number) => void;

async function listen(onRequest: RequestHandler): Promise<net.Server> {
  let count = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

interface SendResult {
  readonly result: 'complete' | 'unsent' | 'unknown';
  readonly body: string;
}

function send(
  client: ReturnType<typeof createEndpointClient>,
  port: number,
  needsNewConnection = false,
): Promise<SendResult> {
  return new Promise((resolve) => {
    let body = '';
    client.send({
      host: '127.0.0.1',
      port,
      method: 'GET',
      path: '/',
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection,
      onHead: () => undefined,
      onData: (chunk) => void (body += chunk),
      onEnd: () => resolve({result: 'complete', body}),
      onFailure: ({tag}) => resolve({result: tag, body}),
    });
  });
}

const portOf = (server: net.Server) =>
  (server.address() as net.AddressInfo).port;

test('a response without a length is incomplete if the connection is reset', async (t) => {
  const server = await listen((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  const client = createEndpointClient(wire);
  for (let iteration = 0; iteration < 20; iteration += 1) {
    t.is((await send(client, portOf(server))).result, 'unknown');
  }
  client.close();
  server.close();
});

test('a response without a length is complete if the connection is closed', async (t) => {
  const server = await listen((socket) =>
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  );
  const client = createEndpointClient(wire);
  t.deepEqual(await send(client, portOf(server)), {
    result: 'complete',
    body: 'whole',
  });
  client.close();
  server.close();
});

test('a refused connection fails as unsent', async (t) => {
  const server = await listen(() => undefined);
  const port = portOf(server);
  await new Promise((resolve) => server.close(resolve));
  const client = createEndpointClient(wire);
  t.is((await send(client, port)).result, 'unsent');
  client.close();
});

test('a connection with bytes after the response is not pooled', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\naHTTP/1.1 200',
    );
  });
  const client = createEndpointClient(wire);
  for (let iteration = 0; iteration < 3; iteration += 1) {
    const {result, body} = await send(client, portOf(server));
    t.deepEqual({result, body}, {result: 'complete', body: 'a'});
  }
  t.is(connections.size, 3);
  client.close();
  server.close();
});

test('a pooled connection is reused unless a new one is required', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\na',
    );
  });
  const client = createEndpointClient(wire);
  await send(client, portOf(server));
  await send(client, portOf(server));
  t.is(connections.size, 1);
  await send(client, portOf(server), true);
  t.is(connections.size, 2);
  client.close();
  server.close();
});

test('a response that ends while it is paused leaves no pooled connection that is not read', async (t) => {
  const server = await listen((socket) => {
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\na',
    );
  });
  const client = createEndpointClient(wire);
  await new Promise<void>((resolve) => {
    const exchange = client.send({
      host: '127.0.0.1',
      port: portOf(server),
      method: 'GET',
      path: '/',
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection: false,
      onHead: () => undefined,
      onData: () => exchange.pause(),
      onEnd: resolve,
      onFailure: ({message}) => t.fail(message),
    });
  });
  const next = send(client, portOf(server)).then(({result}) => result);
  const timeout = new Promise((resolve) =>
    setTimeout(resolve, 1000, 'no response'),
  );
  t.is(await Promise.race([next, timeout]), 'complete');
  client.close();
  server.close();
});
