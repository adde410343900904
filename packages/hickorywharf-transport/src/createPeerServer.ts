import {createServer, type Socket} from 'node:net';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import {runConnection} from './runConnection.ts';

interface PeerServerOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly handlers: ConnectionHandlers;
}

interface PeerServer {
  readonly port: number;
  close(): void;
}

/**
 * Listens for other processes of the system.
 *
 * @example
 *     const server = await createPeerServer(options);
 */
export function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const {address, port, identity, handlers} = options;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    runConnection(socket, identity, handlers);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      const bound = server.address();
      resolve({
        port: typeof bound === 'object' && bound !== null ? bound.port : port,
        close() {
          server.close();
          for (const socket of sockets) socket.end();
        },
      });
    });
  });
}
