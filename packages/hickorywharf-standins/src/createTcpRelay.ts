import {connect, createServer, type Socket} from 'node:net';

/** What a relay does to the connections that pass through it. */
type RelayMode = 'pass' | 'delay' | 'hold';

interface TcpRelay {
  readonly port: number;
  setTarget(port: number): void;
  setMode(mode: RelayMode): void;
  /** Resets every connection that is open just now. */
  reset(): void;
  /** Ends one direction of every connection that is open just now. */
  halfClose(side: 'client' | 'server'): void;
  close(): void;
}

interface TcpRelayOptions {
  readonly address: string;
  readonly delayMilliseconds: number;
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
}

/**
 * A relay of TCP connections to a port of the same address, which delays,
 * holds, resets and half-closes them on demand.
 *
 * @example
 *     const relay = await createTcpRelay({address: '127.0.0.1', delayMilliseconds: 300});
 *     relay.setTarget(9000);
 */
export async function createTcpRelay(
  options: TcpRelayOptions,
): Promise<TcpRelay> {
  const {address, delayMilliseconds} = options;
  const links = new Set<Link>();
  const held = new Set<() => void>();
  let targetPort = 0;
  let mode: RelayMode = 'pass';

  function forward(from: Socket, to: Socket): void {
    // One queue for each direction keeps the bytes in order.
    let queue = Promise.resolve();
    const enqueue = (deliver: () => void) => {
      const gate = waitForMode();
      queue = queue.then(() => gate).then(deliver);
    };
    from.on('data', (bytes) => {
      enqueue(() => void (to.writable && to.write(bytes)));
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
    const link = {client, server};
    links.add(link);
    const close = () => {
      links.delete(link);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', close);
      socket.on('close', close);
    }
    forward(client, server);
    forward(server, client);
  });
  await new Promise<void>((resolve, reject) => {
    listener.once('error', reject);
    listener.listen(0, address, resolve);
  });
  const bound = listener.address();
  return {
    port: typeof bound === 'object' && bound !== null ? bound.port : 0,
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
      for (const {client, server} of [...links]) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }
    },
    halfClose(side) {
      for (const link of links) link[side].end();
    },
    close() {
      listener.close();
      for (const {client, server} of [...links]) {
        client.destroy();
        server.destroy();
      }
    },
  };
}
