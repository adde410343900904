import type {ListenOptions, Server} from 'node:net';

/**
 * Makes a server listen, and gives the port, which the system chooses for 0.
 *
 * @returns rejects where the address can't be had
 * @example
 *     const port = await listenOn(server, {host: '127.0.0.1', port: 0});
 */
export function listenOn(
  server: Server,
  options: ListenOptions,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, () => {
      const address = server.address();
      const isBound = typeof address === 'object' && address !== null;
      resolve(isBound ? address.port : (options.port ?? 0));
    });
  });
}
