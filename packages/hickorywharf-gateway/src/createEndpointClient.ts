import net from 'node:net';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {createResponseParser} from './createResponseParser.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {EndpointRequest} from './endpointRequest.ts';

/** A connection of its own, and what was learnt of it. */
interface Channel {
  readonly socket: net.Socket;
  readonly address: string;
  /** Takes what arrives; null while nothing is asked. */
  user: ChannelUser | null;
  idleTimer: NodeJS.Timeout | null;
}

interface ChannelUser {
  /** False to stop reading until the next turn of the loop. */
  onBytes(bytes: Buffer): boolean;
  onEnd(): void;
  onClose(message: string): void;
}

/** A connection within a region takes a few milliseconds, or a lost packet. */
const CONNECT_MILLISECONDS = 400;
/** Below what endpoints state, since their clock began before ours. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 700;
/** For endpoints that state no time, and may close within a second. */
const UNSTATED_KEEP_ALIVE_MILLISECONDS = 300;
/** Idle connections to one endpoint; others are closed after their answer. */
const IDLE_CONNECTIONS = 8;
const READ_BYTES = 16_384;

/** How long a connection may be kept after an answer; 0 to close it. */
function getKeepMilliseconds(rawHeaders: readonly string[]): number {
  let keep = UNSTATED_KEEP_ALIVE_MILLISECONDS;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const value = rawHeaders[index + 1]!;
    if (name === 'connection' && /\bclose\b/i.test(value)) return 0;
    const seconds = /(?:^|[\s,])timeout=(\d+)/.exec(value)?.[1];
    if (name === 'keep-alive' && seconds !== undefined) {
      keep = Number(seconds) * 1000 - KEEP_ALIVE_MARGIN_MILLISECONDS;
    }
  }
  return Math.max(0, keep);
}

function formatHead(request: EndpointRequest): string {
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  for (let index = 0; index + 1 < request.headers.length; index += 2) {
    head += `${request.headers[index]}: ${request.headers[index + 1]}\r\n`;
  }
  return `${head}\r\n`;
}

/**
 * Connections to endpoints over HTTP/1.1, one request at a time on each. They
 * are read with a buffer of their own: where data and a reset arrive together,
 * Node's streams report an end in place of the reset, and an answer without a
 * length that was cut off would look whole.
 *
 * @example
 *     const channels = createEndpointClient(wire);
 *     const exchange = channels.send(request);
 *     exchange.abort();
 */
export function createEndpointClient(wire: GatewayWireFormat): EndpointClient {
  const idle = new Map<string, Channel[]>();
  const all = new Set<Channel>();

  function open(host: string, port: number): Channel {
    const socket = net.connect({
      host,
      port,
      noDelay: true,
      onread: {
        buffer: Buffer.allocUnsafe(READ_BYTES),
        callback(size, buffer) {
          // Bytes that arrive while nothing is asked belong to no request.
          if (channel.user === null) {
            socket.destroy();
            return false;
          }
          const bytes = (buffer as Buffer).subarray(0, size);
          if (channel.user.onBytes(bytes)) return true;
          setImmediate(() => {
            if (!socket.isPaused()) socket.resume();
          });
          return false;
        },
      },
    });
    const channel: Channel = {
      socket,
      address: `${host}:${port}`,
      user: null,
      idleTimer: null,
    };
    all.add(channel);
    let failure = 'the connection was closed';
    socket.on('error', ({message}) => {
      failure = message;
    });
    socket.on('end', () => channel.user?.onEnd());
    socket.on('close', () => {
      all.delete(channel);
      leaveIdle(channel);
      channel.user?.onClose(failure);
    });
    return channel;
  }

  function leaveIdle(channel: Channel): void {
    if (channel.idleTimer === null) return;
    clearTimeout(channel.idleTimer);
    channel.idleTimer = null;
    const list = idle.get(channel.address) ?? [];
    list.splice(list.indexOf(channel), 1);
    if (list.length === 0) idle.delete(channel.address);
  }

  function keep(channel: Channel, milliseconds: number): void {
    const list = idle.get(channel.address) ?? [];
    if (milliseconds <= 0 || list.length >= IDLE_CONNECTIONS) {
      channel.socket.destroy();
      return;
    }
    idle.set(channel.address, list);
    list.push(channel);
    channel.idleTimer = setTimeout(
      () => channel.socket.destroy(),
      milliseconds,
    );
  }

  function take(input: EndpointRequest): Channel {
    const {host, port, needsNewConnection} = input;
    const channel = needsNewConnection
      ? undefined
      : idle.get(`${host}:${port}`)?.at(-1);
    if (channel === undefined) return open(host, port);
    leaveIdle(channel);
    return channel;
  }

  function send(input: EndpointRequest): ReturnType<EndpointClient['send']> {
    const channel = take(input);
    const {socket} = channel;
    let isOver = false;
    let isSent = !socket.connecting;
    let isWritten = false;
    let keepMilliseconds = 0;
    const timer = isSent
      ? null
      : setTimeout(
          () => fail(`no connection within ${CONNECT_MILLISECONDS} ms`),
          CONNECT_MILLISECONDS,
        );

    function finish(): boolean {
      if (isOver) return false;
      isOver = true;
      if (timer !== null) clearTimeout(timer);
      channel.user = null;
      return true;
    }
    function fail(message: string): void {
      if (!finish()) return;
      socket.destroy();
      input.onFailure({tag: isSent ? 'unknown' : 'unsent', message});
    }
    function complete(): void {
      if (!finish()) return;
      // An early answer leaves the rest of the body to be read later.
      if (isWritten) keep(channel, keepMilliseconds);
      else socket.destroy();
      input.onEnd();
    }

    const reader = createResponseParser(
      {
        onHead(status, rawHeaders) {
          if (isOver) return;
          keepMilliseconds = getKeepMilliseconds(rawHeaders);
          input.onHead(wire.parseResponseHead(status, rawHeaders));
        },
        onBody(bytes) {
          if (!isOver) input.onData(Buffer.from(bytes));
        },
        onEnd: () => undefined,
      },
      input.method === 'HEAD',
    );

    channel.user = {
      onBytes(bytes) {
        const isRead = reader.read(bytes);
        if (isOver) return true;
        // What follows a whole answer spoils the connection, not the answer.
        if (reader.isComplete()) {
          if (!isRead) keepMilliseconds = 0;
          complete();
          return true;
        }
        if (!isRead) fail('bytes that are no answer');
        return !reader.isCloseDelimited();
      },
      onEnd() {
        keepMilliseconds = 0;
        if (reader.finish()) complete();
        else fail('the answer was cut off');
      },
      onClose: fail,
    };

    const head = Buffer.from(formatHead(input), 'latin1');
    const body = input.body === null ? null : Buffer.from(input.body);
    const write = (): void => {
      isSent = true;
      if (timer !== null) clearTimeout(timer);
      const bytes = body === null ? head : Buffer.concat([head, body]);
      socket.write(bytes, () => {
        isWritten = true;
      });
    };
    if (socket.connecting) {
      socket.once('connect', () => {
        if (!isOver) write();
      });
    } else write();

    return {
      abort() {
        if (finish()) socket.destroy();
      },
      pause: () => void socket.pause(),
      resume: () => void socket.resume(),
    };
  }

  return {
    send,
    close() {
      for (const {socket} of all) socket.destroy();
    },
  };
}
