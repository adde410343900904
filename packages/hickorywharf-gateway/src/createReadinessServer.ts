import http from 'node:http';

interface ReadinessServer {
  listen(host: string, port: number): Promise<void>;
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
        server.listen({host, port}, () => resolve());
      }),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
