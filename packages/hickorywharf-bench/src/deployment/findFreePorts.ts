import {createServer, type Server} from 'node:net';

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

function open(address: string, port: number): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, address, () => resolve(server));
  });
}

/**
 * Ports of an address that are free just now. They are taken from below those
 * of outgoing connections, so that no process of a deployment that starts
 * takes one that another is to listen on.
 *
 * @example
 *     const [first] = await findFreePorts('127.0.0.1', 3);
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<number[]> {
  const span = LAST_PORT - FIRST_PORT;
  const start = Math.floor(Math.random() * span);
  const servers = new Map<number, Server>();
  for (let tries = 0; tries < span && servers.size < count; tries += 1) {
    const port = FIRST_PORT + ((start + tries) % span);
    const server = await open(address, port);
    if (server !== null) servers.set(port, server);
  }
  await Promise.all(
    Array.from(
      servers.values(),
      (server) => new Promise((resolve) => server.close(resolve)),
    ),
  );
  return [...servers.keys()];
}
