import http from 'node:http';

interface ReadinessServer {
  /** Gives the port, which the system chooses for 0. */
  listen(host: string, port: number): Promise<number>;
  close(): void;
}

/**
 * Tells the platform's balancer whether this instance takes callers.
 *
 * @param path what the balancer asks for
 * @param isReady asked at each question
 * @example
 *     await createReadinessServer('/ready', () => true).listen('10.1.0.41', 8621);
 */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
): ReadinessServer {
  const server = http.createServer((request, response) => {
    const isKnown = request.url === path;
    const status = isKnown ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, {'content-length': '0'}).end();
  });
  return {
    listen: (host, port) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen({host, port}, () => {
          const address = server.address();
          const isBound = typeof address === 'object' && address !== null;
          resolve(isBound ? address.port : port);
        });
      }),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
