import net from 'node:net';
import test from 'ava';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {sleep} from 'hickorywharf-utils/sleep';
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
    isLeaving: false,
    rateLimit: {tag: 'none'},
    retryAfter: {tag: 'none'},
    headers: [],
  }),
} as unknown as GatewayWireFormat;

const lines: Array<[string, Readonly<Record<string, unknown>>]> = [];
const log = {
  infoRateLimited: (...line: (typeof lines)[number]) => void lines.push(line),
  infoAlways: () => undefined,
};

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
  /** Why it is not complete. */
  readonly message?: string;
}

function send(
  client: ReturnType<typeof createEndpointClient>,
  port: number,
  use: {
    requestId?: string;
    needsNewConnection?: boolean;
    isExclusive?: boolean;
    connection?: ReturnType<ReturnType<typeof createEndpointClient>['reserve']>;
  } = {},
): Promise<SendResult> {
  return new Promise((resolve) => {
    let body = '';
    client.send({
      host: '127.0.0.1',
      port,
      method: 'GET',
      path: '/',
      requestId: null,
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection: false,
      isExclusive: false,
      ...use,
      onHead: () => undefined,
      onData: (chunk) => void (body += chunk),
      onEnd: () => resolve({result: 'complete', body}),
      onFailure: ({tag, message}) => resolve({result: tag, body, message}),
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
  const client = createEndpointClient(wire, log);
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
  const client = createEndpointClient(wire, log);
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
  const client = createEndpointClient(wire, log);
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
  const client = createEndpointClient(wire, log);
  for (let iteration = 0; iteration < 3; iteration += 1) {
    const {result, body} = await send(client, portOf(server));
    t.deepEqual({result, body}, {result: 'complete', body: 'a'});
  }
  t.is(connections.size, 3);
  const peer = `127.0.0.1:${portOf(server)}`;
  t.deepEqual(
    lines.filter(([, fields]) => fields['peer'] === peer),
    Array.from({length: 3}, () => [
      'unexpected bytes after a response',
      {step: 'receive', peer, bytes: 74, requests: 1},
    ]),
  );
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
  const client = createEndpointClient(wire, log);
  await send(client, portOf(server));
  await send(client, portOf(server));
  t.is(connections.size, 1);
  await send(client, portOf(server), {needsNewConnection: true});
  t.is(connections.size, 2);
  client.close();
  server.close();
});

test('an exclusive connection is neither taken from the pool nor pooled', async (t) => {
  const connections = new Set<net.Socket>();
  let open = 0;
  const server = await listen((socket) => {
    connections.add(socket);
    open += 1;
    socket.on('close', () => void (open -= 1));
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\na',
    );
  });
  const client = createEndpointClient(wire, log);
  const isExclusive = true;
  await send(client, portOf(server), {isExclusive});
  await send(client, portOf(server));
  t.is(connections.size, 2);
  await send(client, portOf(server), {isExclusive});
  t.is(connections.size, 3);
  await sleep(50);
  t.is(open, 1);
  client.close();
  server.close();
});

test('nothing is sent to an endpoint that wants no requests once the connection is open', async (t) => {
  let received = 0;
  const server = await listen(() => (received += 1));
  const client = createEndpointClient(wire, log);
  let mayStillSend = true;
  const result = new Promise((resolve) => {
    client.send({
      host: '127.0.0.1',
      port: portOf(server),
      method: 'GET',
      path: '/',
      requestId: null,
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection: true,
      isExclusive: false,
      mayStillSend: () => mayStillSend,
      onHead: () => resolve('head'),
      onData: () => undefined,
      onEnd: () => resolve('complete'),
      onFailure: ({tag}) => resolve(tag),
    });
  });
  mayStillSend = false;
  const timeout = sleep(300).then(() => 'none');
  t.is(await Promise.race([result, timeout]), 'unsent');
  await sleep(20);
  t.is(received, 0);
  client.close();
  server.close();
});

test('a response that ends while it is paused leaves no pooled connection that is not read', async (t) => {
  const server = await listen((socket) => {
    socket.write(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\na',
    );
  });
  const client = createEndpointClient(wire, log);
  await new Promise<void>((resolve) => {
    const exchange = client.send({
      host: '127.0.0.1',
      port: portOf(server),
      method: 'GET',
      path: '/',
      requestId: null,
      headers: ['Host', 'x'],
      body: null,
      needsNewConnection: false,
      isExclusive: false,
      onHead: () => undefined,
      onData: () => exchange.pause(),
      onEnd: () => resolve(),
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

test('a response without a length that holds another response is not complete', async (t) => {
  const server = await listen((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nagain');
  });
  const client = createEndpointClient(wire, log);
  t.deepEqual(await send(client, portOf(server)), {
    result: 'unknown',
    body: 'whole',
    message: 'another response within a body without a length',
  });
  client.close();
  server.close();
});

test('a request id is sent once on a connection', async (t) => {
  const connections: net.Socket[] = [];
  const server = await listen((socket) => {
    connections.push(socket);
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na');
  });
  const client = createEndpointClient(wire, log);
  for (const requestId of ['a', 'a', 'b', 'a']) {
    await send(client, portOf(server), {requestId});
  }
  const [first, second, third, fourth] = connections;
  t.not(first, second);
  t.is(second, third);
  t.false([first, second].includes(fourth));
  client.close();
  server.close();
});

test('a connection is closed after 256 requests', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na');
  });
  const client = createEndpointClient(wire, log);
  for (let sent = 0; sent < 257; sent += 1) {
    await send(client, portOf(server), {requestId: String(sent)});
    if (sent < 256) t.is(connections.size, 1);
  }
  t.is(connections.size, 2);
  client.close();
  server.close();
});

// Guards against times that are too large for a timer of Node, which then fires
// at once: each such connection was closed right after its response.
test('a connection whose stated keep-alive time is very large is used again', async (t) => {
  const connections = new Set<net.Socket>();
  const server = await listen((socket) => {
    connections.add(socket);
    const seconds = '9'.repeat(400);
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=${seconds}\r\n\r\na`,
    );
  });
  const client = createEndpointClient(wire, log);
  for (let iteration = 0; iteration < 3; iteration += 1) {
    t.is((await send(client, portOf(server))).result, 'complete');
    await sleep(50);
  }
  t.is(connections.size, 1);
  client.close();
  server.close();
});

test('a request is sent on the connection that was reserved for it', async (t) => {
  let connections = 0;
  const server = await listen((socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'),
  );
  server.on('connection', () => void (connections += 1));
  const client = createEndpointClient(wire, log);
  const port = portOf(server);
  const connection = await new Promise<ReturnType<typeof client.reserve>>(
    (resolve, reject) => {
      const reserved = client.reserve(
        {host: '127.0.0.1', port},
        {onOpen: () => resolve(reserved), onFailure: reject},
      );
    },
  );
  t.deepEqual(await send(client, port, {connection}), {
    result: 'complete',
    body: 'whole',
  });
  t.is(connections, 1);
  client.close();
  server.close();
});

test('a reservation fails where no connection is taken, or the endpoint closes it', async (t) => {
  const server = net.createServer((socket) => socket.end());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const port = portOf(server);
  const client = createEndpointClient(wire, log);
  const reserve = (host: string): Promise<string> =>
    new Promise((resolve) => {
      const onOpen = (): void => undefined;
      client.reserve({host, port}, {onOpen, onFailure: resolve});
    });
  t.is(await reserve('127.0.0.1'), 'the connection was closed');
  await new Promise((resolve) => server.close(resolve));
  t.regex(await reserve('127.0.0.1'), /ECONNREFUSED/);
  t.regex(await reserve('no address'), /is no address/);
  client.close();
});
