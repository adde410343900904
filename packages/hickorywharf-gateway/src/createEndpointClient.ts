import net from 'node:net';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {isSocketAddress} from 'hickorywharf-utils/isSocketAddress';
import {startTimeout} from 'hickorywharf-utils/startTimeout';
import {createResponseParser} from './createResponseParser.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {EndpointRequest} from './endpointRequest.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {ReservedConnection} from './reservedConnection.ts';

/** A pooled connection to an endpoint. */
interface PooledConnection {
  readonly socket: net.Socket;
  readonly address: string;
  /** Receives what arrives; null while no request is in flight. */
  consumer: ResponseConsumer | null;
  /** Number of requests that were sent on it. */
  requests: number;
  /** Ids of the requests that were sent on it; each is sent once. */
  readonly requestIds: Set<string>;
  idleTimer: NodeJS.Timeout | null;
}

interface ResponseConsumer {
  /** False to stop reading until the next turn of the event loop. */
  onBytes(bytes: Buffer): boolean;
  onEnd(): void;
  onClose(message: string): void;
}

/**
 * Connecting takes a few milliseconds within a region; the limit allows for one
 * lost packet.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/**
 * Subtracted from the keep-alive timeout that an endpoint states, as its timer
 * starts before the response arrives here.
 */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 700;
/**
 * Keep-alive time for endpoints that state no timeout; some close idle
 * connections within a second.
 */
const UNSTATED_KEEP_ALIVE_MILLISECONDS = 300;
/** Bounds the stated time, as timers of Node that are too long fire at once. */
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 60_000;
/** Most idle connections per endpoint; more are closed after the response. */
const MAXIMUM_IDLE_CONNECTIONS = 8;
/** Bounds the ids that are kept for a connection. */
const MAXIMUM_REQUESTS_PER_CONNECTION = 256;
const READ_BUFFER_BYTES = 16_384;

/** Idle time for which a connection may be pooled; 0 to close it. */
function getKeepAliveMilliseconds(rawHeaders: readonly string[]): number {
  let idleMilliseconds = UNSTATED_KEEP_ALIVE_MILLISECONDS;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const value = rawHeaders[index + 1]!;
    if (name === 'connection' && /\bclose\b/i.test(value)) return 0;
    const seconds = /(?:^|[\s,])timeout=(\d+)/.exec(value)?.[1];
    if (name === 'keep-alive' && seconds !== undefined) {
      idleMilliseconds =
        Number(seconds) * 1000 - KEEP_ALIVE_MARGIN_MILLISECONDS;
    }
  }
  return Math.min(
    Math.max(0, idleMilliseconds),
    MAXIMUM_KEEP_ALIVE_MILLISECONDS,
  );
}

function formatHead(request: EndpointRequest): string {
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  if (request.isExclusive) head += 'Connection: close\r\n';
  for (let index = 0; index + 1 < request.headers.length; index += 2) {
    head += `${request.headers[index]}: ${request.headers[index + 1]}\r\n`;
  }
  return `${head}\r\n`;
}

/**
 * Creates an HTTP/1.1 client for endpoints with a connection pool and one
 * request at a time on each connection. It reads sockets with the `onread`
 * option: if data and a reset arrive together, Node's streams report an end
 * instead of the reset, and a truncated response without a length would look
 * complete.
 *
 * @example
 *     const client = createEndpointClient(wire, log);
 *     const exchange = client.send(request);
 *     exchange.abort();
 */
export function createEndpointClient(
  wire: GatewayWireFormat,
  log: GatewayLog,
): EndpointClient {
  const idle = new Map<string, PooledConnection[]>();
  const connections = new Set<PooledConnection>();
  const reservations = new Map<ReservedConnection, PooledConnection>();

  function connect(host: string, port: number): PooledConnection {
    const socket = net.connect({
      host,
      port,
      noDelay: true,
      onread: {
        buffer: Buffer.allocUnsafe(READ_BUFFER_BYTES),
        callback(size, buffer) {
          // Bytes without a request in flight belong to no response, so the
          // connection cannot be used any more.
          if (connection.consumer === null) {
            logUnexpectedBytes(connection, size);
            socket.destroy();
            return false;
          }
          const bytes = (buffer as Buffer).subarray(0, size);
          if (connection.consumer.onBytes(bytes)) return true;
          setImmediate(() => {
            if (!socket.isPaused()) socket.resume();
          });
          return false;
        },
      },
    });
    const connection: PooledConnection = {
      socket,
      address: `${host}:${port}`,
      consumer: null,
      requests: 0,
      requestIds: new Set(),
      idleTimer: null,
    };
    connections.add(connection);
    let failure = 'the connection was closed';
    socket.on('error', ({message}) => {
      failure = message;
    });
    socket.on('end', () => connection.consumer?.onEnd());
    socket.on('close', () => {
      connections.delete(connection);
      removeIdle(connection);
      connection.consumer?.onClose(failure);
    });
    return connection;
  }

  /** Logs bytes that belong to no response, such as a second response. */
  function logUnexpectedBytes(
    {address, requests}: PooledConnection,
    bytes: number,
  ): void {
    log.infoRateLimited('unexpected bytes after a response', {
      step: 'receive',
      peer: address,
      bytes,
      requests,
    });
  }

  function removeIdle(connection: PooledConnection): void {
    if (connection.idleTimer === null) return;
    clearTimeout(connection.idleTimer);
    connection.idleTimer = null;
    const list = idle.get(connection.address) ?? [];
    list.splice(list.indexOf(connection), 1);
    if (list.length === 0) idle.delete(connection.address);
  }

  function release(connection: PooledConnection, milliseconds: number): void {
    const list = idle.get(connection.address) ?? [];
    const isUsedUp =
      list.length >= MAXIMUM_IDLE_CONNECTIONS ||
      connection.requests >= MAXIMUM_REQUESTS_PER_CONNECTION;
    if (milliseconds <= 0 || isUsedUp) {
      connection.socket.destroy();
      return;
    }
    idle.set(connection.address, list);
    list.push(connection);
    connection.idleTimer = setTimeout(
      () => connection.socket.destroy(),
      milliseconds,
    );
  }

  function reserve(
    address: {readonly host: string; readonly port: number},
    handlers: {onOpen(): void; onFailure(message: string): void},
  ): ReservedConnection {
    const {host, port} = address;
    if (!isSocketAddress(address)) {
      queueMicrotask(() => handlers.onFailure(`${host}:${port} is no address`));
      return {release: () => undefined};
    }
    const connection = connect(host, port);
    const reserved: ReservedConnection = {
      release() {
        if (!reservations.delete(reserved)) return;
        stopTimeout();
        connection.consumer = null;
        connection.socket.destroy();
      },
    };
    reservations.set(reserved, connection);
    function fail(message: string): void {
      if (!reservations.has(reserved)) return;
      reserved.release();
      handlers.onFailure(message);
    }
    const stopTimeout = startTimeout({
      milliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      onTimeout: () =>
        fail(`no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`),
    });
    connection.consumer = {
      onBytes(bytes) {
        logUnexpectedBytes(connection, bytes.length);
        fail('bytes before the first request');
        return true;
      },
      onEnd: () => fail('the connection was closed'),
      onClose: fail,
    };
    connection.socket.once('connect', () => {
      stopTimeout();
      if (reservations.has(reserved)) handlers.onOpen();
    });
    return reserved;
  }

  /** Undefined if the connection was closed meanwhile. */
  function takeReserved(
    reserved: ReservedConnection | null | undefined,
  ): PooledConnection | undefined {
    if (reserved === null || reserved === undefined) return undefined;
    const connection = reservations.get(reserved);
    reservations.delete(reserved);
    return connection;
  }

  function acquire(input: EndpointRequest): PooledConnection {
    const {host, port, requestId} = input;
    const reserved = takeReserved(input.connection);
    if (reserved !== undefined) return reserved;
    const isPooled = !input.needsNewConnection && !input.isExclusive;
    const connection = isPooled
      ? idle
          .get(`${host}:${port}`)
          ?.findLast(
            ({requestIds}) => requestId === null || !requestIds.has(requestId),
          )
      : undefined;
    if (connection === undefined) return connect(host, port);
    removeIdle(connection);
    return connection;
  }

  /** Fails a request to an address at which no connection can be tried. */
  function rejectAddress(
    input: EndpointRequest,
  ): ReturnType<EndpointClient['send']> {
    let isAborted = false;
    queueMicrotask(() => {
      if (isAborted) return;
      const message = `${input.host}:${input.port} is no address`;
      input.onFailure({tag: 'unsent', message});
    });
    return {
      abort() {
        isAborted = true;
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  }

  function send(input: EndpointRequest): ReturnType<EndpointClient['send']> {
    if (!isSocketAddress(input)) return rejectAddress(input);
    const connection = acquire(input);
    connection.requests += 1;
    if (input.requestId !== null) connection.requestIds.add(input.requestId);
    const {socket} = connection;
    let isSettled = false;
    let isSent = !socket.connecting;
    let isWritten = false;
    /**
     * The end of the connection ended the answer. While the request is written,
     * a reset may still follow, and shows that the answer was cut off.
     */
    let isEnded = false;
    let keepAliveMilliseconds = 0;
    const timer = isSent
      ? null
      : setTimeout(
          () => fail(`no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`),
          CONNECT_TIMEOUT_MILLISECONDS,
        );

    function finish(): boolean {
      if (isSettled) return false;
      isSettled = true;
      if (timer !== null) clearTimeout(timer);
      connection.consumer = null;
      return true;
    }
    function fail(message: string): void {
      if (!finish()) return;
      socket.destroy();
      input.onFailure({tag: isSent ? 'unknown' : 'unsent', message});
    }
    function complete(isFramed: boolean): void {
      if (!finish()) return;
      // After an early response the endpoint may still read the request body,
      // so the connection is not pooled.
      const isReusable = isWritten && !input.isExclusive;
      if (isReusable) release(connection, keepAliveMilliseconds);
      else socket.destroy();
      input.onEnd(isFramed);
    }

    const parser = createResponseParser(
      {
        onHead(status, rawHeaders) {
          if (isSettled) return;
          keepAliveMilliseconds = getKeepAliveMilliseconds(rawHeaders);
          const head = wire.parseResponseHead(status, rawHeaders);
          input.onHead(head, connection.requests === 1);
        },
        onBody(bytes) {
          if (!isSettled) input.onData(Buffer.from(bytes));
        },
        onEnd: () => undefined,
      },
      input.method === 'HEAD',
    );

    connection.consumer = {
      onBytes(bytes) {
        const isRead = parser.read(bytes);
        if (isSettled) return true;
        // Bytes after a complete response make only the connection unusable.
        if (parser.isComplete()) {
          // The next request would get no response on a paused socket.
          if (socket.isPaused()) socket.resume();
          if (!isRead) {
            logUnexpectedBytes(connection, bytes.length);
            keepAliveMilliseconds = 0;
          }
          complete(true);
          return true;
        }
        if (!isRead) fail(parser.getError());
        return !parser.isCloseDelimited();
      },
      onEnd() {
        keepAliveMilliseconds = 0;
        if (!parser.finish()) return fail('the answer was cut off');
        isEnded = true;
        if (isWritten) complete(false);
      },
      onClose: fail,
    };

    const head = Buffer.from(formatHead(input), 'latin1');
    const write = (): void => {
      isSent = true;
      if (timer !== null) clearTimeout(timer);
      // In one piece, and without a copy of the body.
      socket.cork();
      if (input.body !== null) socket.write(head);
      socket.write(input.body ?? head, (error) => {
        isWritten = true;
        if (isEnded && !error) complete(false);
      });
      socket.uncork();
    };
    if (socket.connecting) {
      socket.once('connect', () => {
        if (isSettled) return;
        if (input.mayStillSend?.() ?? true) write();
        else fail('the endpoint wants no more requests');
      });
    } else write();

    return {
      abort() {
        if (finish()) socket.destroy();
      },
      pause() {
        if (!isSettled) socket.pause();
      },
      resume() {
        if (!isSettled) socket.resume();
      },
    };
  }

  return {
    send,
    reserve,
    close() {
      for (const {socket} of connections) socket.destroy();
    },
  };
}
