import type {ListenOptions, Server} from 'node:net';

/**
 * Starts a server on an address. With port 0 the operating system chooses one.
 *
 * @returns the port; rejects where the address cannot be bound
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
