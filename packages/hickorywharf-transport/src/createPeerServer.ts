import {createServer, type Server, type Socket} from 'node:net';
import {createServer as createSecureServer} from 'node:tls';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {sleep} from 'hickorywharf-utils/sleep';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import type {FrameMemory} from './frameMemory.ts';
import {runConnection} from './runConnection.ts';
import type {TlsCredentials} from './tlsCredentials.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

interface PeerServerOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly handlers: ConnectionHandlers;
  readonly credentials?: TlsCredentials | null;
  readonly silenceTimeoutMilliseconds?: number;
  /** Bounds the frames of all connections together; left out for no bound. */
  readonly memory?: FrameMemory;
  /** Connections that may be open together; left out for no bound. */
  readonly maximumConnections?: number;
}

interface PeerServer {
  readonly port: number;
  /** Resolves once all connections are closed, or after a timeout. */
  close(): Promise<void>;
}

function createListener(
  options: PeerServerOptions,
  onSocket: (socket: Socket) => void,
): Server {
  const credentials = options.credentials ?? null;
  if (credentials === null) return createServer(onSocket);
  const server = createSecureServer(
    {
      cert: credentials.certificate,
      key: credentials.key,
      ca: credentials.authority,
      requestCert: true,
      rejectUnauthorized: true,
    },
    onSocket,
  );
  server.on('tlsClientError', ({message}, socket) => {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    options.handlers.onError({
      tag: 'secureConnection',
      step: 'connect',
      peer,
      message,
    });
  });
  return server;
}

async function closeSockets(sockets: ReadonlySet<Socket>): Promise<void> {
  const closed = [...sockets].map(
    (socket) =>
      new Promise<void>((resolve) => {
        socket.once('close', () => resolve());
        socket.end();
      }),
  );
  await Promise.race([
    Promise.all(closed),
    sleep(TRANSPORT_LIMITS.closeTimeoutMilliseconds),
  ]);
  for (const socket of sockets) socket.destroy();
}

/**
 * Listens for connections of other processes of the system.
 *
 * @example
 *     const server = await createPeerServer(options);
 */
export async function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const {address, port, identity, handlers} = options;
  const sockets = new Set<Socket>();
  const server = createListener(options, (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    runConnection({
      socket,
      identity,
      handlers,
      expectedPeer: null,
      memory: options.memory,
      silenceTimeoutMilliseconds:
        options.silenceTimeoutMilliseconds ??
        TRANSPORT_LIMITS.silenceTimeoutMilliseconds,
    });
  });
  if (options.maximumConnections !== undefined) {
    server.maxConnections = options.maximumConnections;
  }
  const bound = await listenOn(server, {host: address, port});
  return {
    port: bound,
    close() {
      server.close();
      return closeSockets(sockets);
    },
  };
}
