import type {Socket} from 'node:net';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import {openSocket} from './openSocket.ts';
import {runConnection} from './runConnection.ts';
import type {TlsCredentials} from './tlsCredentials.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

interface PeerClientOptions {
  /** Name of the process that is expected at the address. */
  readonly name: string;
  /** Accepts a process of any name at the address. */
  readonly isAnyPeerAccepted?: boolean;
  readonly address: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly handlers: ConnectionHandlers;
  readonly credentials?: TlsCredentials | null;
  /** Numbers in [0, 1), to spread reconnections. */
  readonly random: () => number;
  readonly silenceTimeoutMilliseconds?: number;
}

interface PeerClient {
  /** Closes the connection and stops reconnecting. */
  close(): void;
}

/** Error codes of connection failures that are unrelated to TLS. */
const NETWORK_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EPIPE',
  'ETIMEDOUT',
]);

/**
 * Maintains a connection to another process of the system and reconnects with
 * exponential backoff and jitter.
 *
 * @example
 *     const client = createPeerClient(options);
 *     client.close();
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {name, address, port, identity, handlers, random} = options;
  const credentials = options.credentials ?? null;
  let socket: Socket | null = null;
  let isClosed = false;
  let backoffMilliseconds: number =
    TRANSPORT_LIMITS.reconnectMinimumMilliseconds;
  let reconnection: NodeJS.Timeout | undefined;

  function scheduleReconnect(): void {
    if (isClosed) return;
    reconnection = setTimeout(open, backoffMilliseconds * (0.5 + random()));
    backoffMilliseconds = Math.min(
      backoffMilliseconds * 2,
      TRANSPORT_LIMITS.reconnectMaximumMilliseconds,
    );
  }

  function reportTlsError(error: NodeJS.ErrnoException): void {
    if (credentials === null || NETWORK_CODES.has(error.code ?? '')) return;
    const {message} = error;
    handlers.onError({
      tag: 'secureConnection',
      step: 'connect',
      peer: name,
      message,
    });
  }

  function open(): void {
    const opened = openSocket({address, port, credentials});
    socket = opened;
    opened.on('error', reportTlsError);
    runConnection({
      socket: opened,
      identity,
      expectedPeer: options.isAnyPeerAccepted === true ? null : name,
      silenceTimeoutMilliseconds:
        options.silenceTimeoutMilliseconds ??
        TRANSPORT_LIMITS.silenceTimeoutMilliseconds,
      handlers: {
        ...handlers,
        onConnected(connection) {
          backoffMilliseconds = TRANSPORT_LIMITS.reconnectMinimumMilliseconds;
          handlers.onConnected(connection);
        },
      },
    });
    opened.on('close', scheduleReconnect);
  }

  open();
  return {
    close() {
      isClosed = true;
      clearTimeout(reconnection);
      socket?.end();
    },
  };
}
