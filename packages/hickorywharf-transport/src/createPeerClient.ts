import {connect, type Socket} from 'node:net';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import {runConnection} from './runConnection.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

interface PeerClientOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly handlers: ConnectionHandlers;
  /** Numbers in [0, 1), to spread reconnections. */
  readonly random: () => number;
}

interface PeerClient {
  close(): void;
}

/**
 * Keeps a connection to another process of the system, and makes it anew with
 * jittered, growing pauses.
 *
 * @example
 *     const client = createPeerClient(options);
 *     client.close();
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {address, port, identity, handlers, random} = options;
  let socket: Socket | null = null;
  let closed = false;
  let pause: number = TRANSPORT_LIMITS.reconnectMinimumMilliseconds;

  function scheduleReconnect(): void {
    if (closed) return;
    setTimeout(open, pause * (0.5 + random()));
    pause = Math.min(pause * 2, TRANSPORT_LIMITS.reconnectMaximumMilliseconds);
  }

  function open(): void {
    if (closed) return;
    const opened = connect({host: address, port});
    socket = opened;
    runConnection(opened, identity, {
      ...handlers,
      onUp(peer, send) {
        pause = TRANSPORT_LIMITS.reconnectMinimumMilliseconds;
        handlers.onUp(peer, send);
      },
    });
    opened.on('close', scheduleReconnect);
  }

  open();
  return {
    close() {
      closed = true;
      socket?.end();
    },
  };
}
