import type bunyan from 'bunyan';
import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import type {Connection} from 'hickorywharf-transport/connection';
import {createPeerClient} from 'hickorywharf-transport/createPeerClient';
import type {TlsCredentials} from 'hickorywharf-transport/tlsCredentials';
import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

interface EndpointConnectionsOptions {
  readonly identity: ProcessIdentity;
  readonly credentials: TlsCredentials | null;
  readonly logger: bunyan;
  /** Numbers in [0, 1), to spread reconnections. */
  readonly random: () => number;
  readonly onConnected: (connection: Connection) => void;
  readonly onFrame: (endpoint: string, frame: Frame) => void;
  readonly onDisconnected: (endpoint: string) => void;
}

interface EndpointConnections {
  /** Number of connected endpoints. */
  readonly size: number;
  connect(command: Extract<EntryCommand, {tag: 'connect'}>): void;
  disconnect(endpoint: string): void;
  /** False only if no byte of the frame was written or will be. */
  send(endpoint: string, frame: Frame): boolean;
  sendAll(frame: Frame): void;
  close(): void;
}

/**
 * Creates the connections of an entry to endpoint processes, by endpoint name.
 * Each reconnects until it is disconnected or closed.
 *
 * @example
 *     const connections = createEndpointConnections(options);
 *     connections.send('desk-1', frame);
 */
export function createEndpointConnections(
  options: EndpointConnectionsOptions,
): EndpointConnections {
  const {identity, credentials, logger, random} = options;
  const clients = new Map<string, {close(): void}>();
  const connections = new Map<string, Connection>();

  function disconnect(endpoint: string): void {
    clients.get(endpoint)?.close();
    clients.delete(endpoint);
  }

  return {
    get size() {
      return connections.size;
    },
    connect({endpoint, address, port}) {
      disconnect(endpoint);
      const client = createPeerClient({
        name: endpoint,
        address,
        port,
        identity,
        credentials,
        random,
        handlers: {
          onConnected(connection) {
            connections.set(endpoint, connection);
            options.onConnected(connection);
          },
          onFrame: (_connection, frame) => options.onFrame(endpoint, frame),
          onDisconnected(connection) {
            if (connections.get(endpoint) !== connection) return;
            connections.delete(endpoint);
            options.onDisconnected(endpoint);
          },
          onError: (error) => logger.warn(error, error.message),
        },
      });
      clients.set(endpoint, client);
    },
    disconnect,
    send: (endpoint, frame) => connections.get(endpoint)?.send(frame) ?? false,
    sendAll(frame) {
      for (const connection of connections.values()) connection.send(frame);
    },
    close() {
      for (const endpoint of [...clients.keys()]) disconnect(endpoint);
    },
  };
}
