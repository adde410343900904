import {createServer, type Server} from 'node:net';

/** Below the ports that the system gives to outgoing connections. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
const MAXIMUM_TRIES = 1000;

function open(address: string, port: number): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, address, () => resolve(server));
  });
}

function choosePort(): number {
  const count = HIGHEST_PORT - LOWEST_PORT;
  return LOWEST_PORT + Math.floor(Math.random() * count);
}

/**
 * Ports of an address that are free just now. They are outside the range of
 * outgoing connections, one of which could take a port before it is used.
 *
 * @example
 *     const [first] = await findFreePorts('127.0.0.1', 3);
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<number[]> {
  const found = new Map<number, Server>();
  for (let tries = 0; found.size < count; tries += 1) {
    if (tries > MAXIMUM_TRIES) throw new Error(`no ports left on ${address}`);
    const port = choosePort();
    const server = await open(address, port);
    if (server !== null) found.set(port, server);
  }
  const closed = [...found.values()].map(
    (server) => new Promise((resolve) => server.close(resolve)),
  );
  await Promise.all(closed);
  return [...found.keys()];
}
