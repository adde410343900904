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
    headers: [],
  }),
} as unknown as GatewayWireFormat;

type Serve = (socket: net.Socket, count: number) => void;

async function listen(serve: Serve): Promise<net.Server> {
  let count = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      serve(socket, count);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

interface Sending {
  readonly result: 'whole' | 'unsent' | 'unknown';
  readonly body: string;
}

function send(
  channels: ReturnType<typeof createEndpointClient>,
  port: number,
  needsNewConnection = false,
): Promise<Sending> {
  return new Promise((resolve) => {
    let body = '';
    channels.send({
      host: '127.0.0.1',
      port,
      method: 'GET',
      path: '/',
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection,
      onHead: () => undefined,
      onData: (chunk) => void (body += chunk),
      onEnd: () => resolve({result: 'whole', body}),
      onFailure: ({tag}) => resolve({result: tag, body}),
    });
  });
}

const portOf = (server: net.Server) =>
  (server.address() as net.AddressInfo).port;

test('an answer without a length that is reset is not whole', async (t) => {
  const server = await listen((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  const channels = createEndpointClient(wire);
  for (let round = 0; round < 20; round += 1) {
    t.is((await send(channels, portOf(server))).result, 'unknown');
  }
  channels.close();
  server.close();
});

test('an answer without a length that is closed is whole', async (t) => {
  const server = await listen((socket) =>
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  );
  const channels = createEndpointClient(wire);
  t.deepEqual(await send(channels, portOf(server)), {
    result: 'whole',
    body: 'whole',
  });
  channels.close();
  server.close();
});

test('a refused connection proves that nothing was sent', async (t) => {
  const server = await listen(() => undefined);
  const port = portOf(server);
  await new Promise((resolve) => server.close(resolve));
  const channels = createEndpointClient(wire);
  t.is((await send(channels, port)).result, 'unsent');
  channels.close();
});

test('a connection on which more than the answer came is not kept', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\naHTTP/1.1 200',
    );
  });
  const channels = createEndpointClient(wire);
  for (let round = 0; round < 3; round += 1) {
    const {result, body} = await send(channels, portOf(server));
    t.deepEqual({result, body}, {result: 'whole', body: 'a'});
  }
  t.is(connections.size, 3);
  channels.close();
  server.close();
});

test('a kept connection is used again, but not for an action', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\na',
    );
  });
  const channels = createEndpointClient(wire);
  await send(channels, portOf(server));
  await send(channels, portOf(server));
  t.is(connections.size, 1);
  await send(channels, portOf(server), true);
  t.is(connections.size, 2);
  channels.close();
  server.close();
});
