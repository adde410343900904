import {createServer, type Server} from 'node:net';

function open(address: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, address, () => resolve(server));
  });
}

function getPort(server: Server): number {
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

/**
 * Ports of an address that are free just now.
 *
 * @example
 *     const [first] = await findFreePorts('127.0.0.1', 3);
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => open(address)),
  );
  const ports = servers.map(getPort);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
