import http from 'node:http';
import {listenOn} from 'hickorywharf-utils/listenOn';

interface TextServer {
  /** Resolves with the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number>;
  close(): void;
}

interface Page {
  readonly status: number;
  readonly text: string;
}

/**
 * Creates an HTTP server for plain text pages, such as readiness and metrics.
 * Other paths get status 404.
 *
 * @param pages functions that produce the page of a path at each request
 * @example
 *     createTextServer({'/ready': () => ({status: 200, text: ''})});
 */
export function createTextServer(
  pages: Readonly<Record<string, () => Page>>,
): TextServer {
  const server = http.createServer((request, response) => {
    const path = request.url ?? '';
    const page = Object.hasOwn(pages, path) ? pages[path]!() : null;
    const {status, text} = page ?? {status: 404, text: ''};
    response.writeHead(status, {
      'content-type': 'text/plain; version=0.0.4',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  });
  return {
    listen: (host, port) => listenOn(server, {host, port}),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
