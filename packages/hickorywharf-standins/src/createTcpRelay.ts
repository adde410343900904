import {connect, createServer, type Socket} from 'node:net';
import type {Link} from './link.ts';

/** How a relay forwards the bytes of its connections. */
type RelayMode = 'pass' | 'delay' | 'hold';

interface TcpRelay {
  readonly port: number;
  /** Sets the port that new connections are forwarded to. */
  setTarget(port: number): void;
  /** Sets the mode; any mode except `hold` delivers the held bytes. */
  setMode(mode: RelayMode): void;
  /** Resets every open connection. */
  reset(): void;
  /** Closes the sending direction towards one side of every connection. */
  halfClose(side: 'client' | 'server'): void;
  close(): void;
}

interface TcpRelayOptions {
  readonly address: string;
  readonly delayMilliseconds: number;
  /** The link over which the server's bytes reach the clients. */
  readonly downlink?: Link;
}

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

/**
 * Creates a TCP relay to a port of the same address that can delay, hold, reset
 * and half-close its connections. The caller owns it and closes it.
 *
 * @example
 *     const relay = await createTcpRelay({address: '127.0.0.1', delayMilliseconds: 300});
 *     relay.setTarget(9000);
 */
export async function createTcpRelay(
  options: TcpRelayOptions,
): Promise<TcpRelay> {
  const {address, delayMilliseconds, downlink} = options;
  const connections = new Set<RelayedConnection>();
  const held = new Set<() => void>();
  let targetPort = 0;
  let mode: RelayMode = 'pass';

  function forward(from: Socket, to: Socket, link?: Link): void {
    // A queue for each direction keeps the bytes in order.
    let queue = Promise.resolve();
    const enqueue = (task: () => Promise<void> | void) => {
      const modeDelay = waitForMode();
      queue = queue.then(() => modeDelay).then(task);
    };
    const deliver = (bytes: Buffer): void => {
      if (to.writable) to.write(bytes);
    };
    from.on('data', (bytes) => {
      if (link === undefined) {
        enqueue(() => deliver(bytes));
        return;
      }
      // Bytes of a connection that is closed meanwhile do not use the link.
      from.pause();
      enqueue(async () => {
        await link.send(bytes.length);
        deliver(bytes);
        from.resume();
      });
    });
    from.on('end', () => enqueue(() => void to.end()));
  }

  async function waitForMode(): Promise<void> {
    if (mode === 'delay') {
      await new Promise((resolve) => setTimeout(resolve, delayMilliseconds));
    }
    if (mode === 'hold') {
      await new Promise<void>((resolve) => held.add(resolve));
    }
  }

  const listener = createServer({allowHalfOpen: true}, (client) => {
    const server = connect({
      host: address,
      port: targetPort,
      allowHalfOpen: true,
    });
    const connection = {client, server};
    connections.add(connection);
    const close = () => {
      connections.delete(connection);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', close);
      socket.on('close', close);
    }
    forward(client, server);
    forward(server, client, downlink);
  });
  await new Promise<void>((resolve, reject) => {
    listener.once('error', reject);
    listener.listen(0, address, resolve);
  });
  const listenAddress = listener.address();
  return {
    port:
      typeof listenAddress === 'object' && listenAddress !== null
        ? listenAddress.port
        : 0,
    setTarget(port) {
      targetPort = port;
    },
    setMode(next) {
      mode = next;
      if (mode === 'hold') return;
      for (const release of held) release();
      held.clear();
    },
    reset() {
      for (const {client, server} of [...connections]) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }
    },
    halfClose(side) {
      for (const connection of connections) connection[side].end();
    },
    close() {
      listener.close();
      for (const {client, server} of [...connections]) {
        client.destroy();
        server.destroy();
      }
    },
  };
}
