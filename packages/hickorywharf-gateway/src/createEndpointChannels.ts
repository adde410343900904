import http from 'node:http';
import type net from 'node:net';
import type {GatewayWire} from 'hickorywharf-types/gateway/gatewayWire';
import type {EndpointChannels} from './endpointChannels.ts';
import type {EndpointRequest} from './endpointRequest.ts';

/** A connection within a region takes a few milliseconds, or a lost packet. */
const CONNECT_MILLISECONDS = 400;
/** Below what endpoints state, since their clock began before ours. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 700;
/** For endpoints that state no time, and may close within a second. */
const UNSTATED_KEEP_ALIVE_MILLISECONDS = 300;
/** Idle connections to one endpoint; others are closed after their answer. */
const IDLE_CONNECTIONS = 8;

function getIdleMilliseconds(socket: net.Socket): number {
  const {_httpMessage: message} = socket as net.Socket & {
    _httpMessage?: http.ClientRequest & {res?: http.IncomingMessage};
  };
  const stated = message?.res?.headers['keep-alive'];
  const seconds = /(?:^|[\s,])timeout=(\d+)/.exec(String(stated ?? ''))?.[1];
  return seconds === undefined
    ? UNSTATED_KEEP_ALIVE_MILLISECONDS
    : Number(seconds) * 1000 - KEEP_ALIVE_MARGIN_MILLISECONDS;
}

/** Keeps connections no longer than their endpoint does. */
function createKeepingAgent(): http.Agent {
  const agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: IDLE_CONNECTIONS,
    scheduling: 'lifo',
  });
  const watchers = new WeakMap<object, () => void>();
  agent.keepSocketAlive = (stream) => {
    const socket = stream as net.Socket;
    const idle = getIdleMilliseconds(socket);
    if (idle <= 0 || socket.readableLength > 0) return false;
    // Bytes that arrive while nothing is asked belong to no request.
    const destroy = () => void socket.destroy();
    watchers.set(socket, destroy);
    socket.on('data', destroy);
    socket.setTimeout(idle);
    return true;
  };
  agent.reuseSocket = (stream, request) => {
    const socket = stream as net.Socket;
    http.Agent.prototype.reuseSocket.call(agent, stream, request);
    const watcher = watchers.get(socket);
    if (watcher !== undefined) socket.off('data', watcher);
    socket.setTimeout(0);
  };
  return agent;
}

/**
 * Connections to endpoints over HTTP/1.1, one request at a time on each.
 *
 * @example
 *     const channels = createEndpointChannels(wire);
 *     const exchange = channels.send(request);
 *     exchange.abort();
 */
export function createEndpointChannels(wire: GatewayWire): EndpointChannels {
  const keepingAgent = createKeepingAgent();
  const freshAgent = new http.Agent({keepAlive: false});

  function send(input: EndpointRequest): ReturnType<EndpointChannels['send']> {
    let isOver = false;
    let isSent = false;
    let answer: http.IncomingMessage | null = null;

    const request = http.request({
      host: input.host,
      port: input.port,
      method: input.method,
      path: input.path,
      headers: input.headers,
      agent: input.needsNewConnection ? freshAgent : keepingAgent,
      setHost: false,
    });
    const timer = setTimeout(() => {
      fail(`no connection within ${CONNECT_MILLISECONDS} ms`);
    }, CONNECT_MILLISECONDS);

    function finish(): boolean {
      if (isOver) return false;
      isOver = true;
      clearTimeout(timer);
      return true;
    }
    function fail(message: string): void {
      if (!finish()) return;
      request.destroy();
      input.onFailure({tag: isSent ? 'unknown' : 'unsent', message});
    }
    function markSent(): void {
      isSent = true;
      clearTimeout(timer);
    }

    request.on('socket', (socket) => {
      if (!socket.connecting) markSent();
      else socket.once('connect', markSent);
    });
    request.on('error', (error) => fail(error.message));
    request.on('close', () => fail('the connection was closed'));
    request.on('response', (incoming) => {
      answer = incoming;
      incoming.on('error', (error) => fail(error.message));
      incoming.on('aborted', () => fail('the answer was cut off'));
      if (isOver) return;
      input.onHead(
        wire.readAnswer(incoming.statusCode ?? 0, incoming.rawHeaders),
      );
      incoming.on('data', (chunk: Buffer) => {
        if (!isOver) input.onData(chunk);
      });
      incoming.on('end', () => {
        if (!incoming.complete) return fail('the answer was cut off');
        // An early answer leaves the rest of the body to be read later.
        if (!request.writableFinished) request.destroy();
        if (finish()) input.onEnd();
      });
    });
    request.end(input.body ?? undefined);
    return {
      abort() {
        if (finish()) request.destroy();
      },
      pause: () => void answer?.pause(),
      resume: () => void answer?.resume(),
    };
  }

  return {
    send,
    close() {
      keepingAgent.destroy();
      freshAgent.destroy();
    },
  };
}
