import {createServer, type Server} from 'node:net';

/** The range lies below the ephemeral ports of outgoing connections. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
const ATTEMPT_LIMIT = 1000;

/** Ports of earlier calls, which may not be in use yet. */
const givenPorts = new Set<number>();

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
 * Finds ports that are free at the moment, other ones in each call of a process.
 * They lie outside the range of ephemeral ports, so that no outgoing connection
 * takes one before it is used.
 *
 * @returns as many distinct ports as `count`
 * @throws if 1000 random ports do not yield enough free ones
 * @example
 *     const [first] = await findFreePorts('127.0.0.1', 3);
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<number[]> {
  const found = new Map<number, Server>();
  for (let attempt = 0; found.size < count; attempt += 1) {
    if (attempt > ATTEMPT_LIMIT) throw new Error(`no free port on ${address}`);
    const port = choosePort();
    if (givenPorts.has(port)) continue;
    const server = await open(address, port);
    if (server === null) continue;
    givenPorts.add(port);
    found.set(port, server);
  }
  const closed = [...found.values()].map(
    (server) => new Promise((resolve) => server.close(resolve)),
  );
  await Promise.all(closed);
  return [...found.keys()];
}
