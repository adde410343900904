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
  /** Takes a process of any name at the address. */
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
  close(): void;
}

/** Failures of a connection that say nothing about its security. */
const PLAIN_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EPIPE',
  'ETIMEDOUT',
]);

/**
 * Keeps a connection to another process of the system, and makes it anew with
 * jittered, growing pauses.
 *
 * @example
 *     const client = createPeerClient(options);
 *     client.close();
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {name, address, port, identity, handlers, random} = options;
  const credentials = options.credentials ?? null;
  let socket: Socket | null = null;
  let closed = false;
  let pause: number = TRANSPORT_LIMITS.reconnectMinimumMilliseconds;
  let reconnection: NodeJS.Timeout | undefined;

  function scheduleReconnect(): void {
    if (closed) return;
    reconnection = setTimeout(open, pause * (0.5 + random()));
    pause = Math.min(pause * 2, TRANSPORT_LIMITS.reconnectMaximumMilliseconds);
  }

  function reportSecurity(error: NodeJS.ErrnoException): void {
    if (credentials === null || PLAIN_CODES.has(error.code ?? '')) return;
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
    opened.on('error', reportSecurity);
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
          pause = TRANSPORT_LIMITS.reconnectMinimumMilliseconds;
          handlers.onConnected(connection);
        },
      },
    });
    opened.on('close', scheduleReconnect);
  }

  open();
  return {
    close() {
      closed = true;
      clearTimeout(reconnection);
      socket?.end();
    },
  };
}
