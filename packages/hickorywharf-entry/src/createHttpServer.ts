import type {Server, ServerResponse} from 'node:http';
import {serve} from '@hono/node-server';
import {sleep} from 'hickorywharf-utils/sleep';
import {answerClientError} from './answerClientError.ts';

interface HttpServerOptions {
  readonly fetch: (request: Request, ...rest: never[]) => unknown;
  readonly address: string;
  readonly port: number;
}

interface HttpServer {
  readonly port: number;
  /** Asks each caller to send its next request elsewhere. */
  startDraining(): void;
  /** Takes no more connections. */
  stopListening(): void;
  /** Resolves once all responses were taken, or the wait is over. */
  finishResponses(waitMilliseconds: number): Promise<void>;
}

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const POLL_MILLISECONDS = 20;

/**
 * Serves callers. Knows which responses are not yet taken in whole, so that a
 * planned stop cuts none.
 *
 * @example
 *     const server = await createHttpServer({fetch, address, port});
 *     server.startDraining();
 */
export async function createHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const open = new Set<ServerResponse>();
  let isLeaving = false;
  const {promise, resolve, reject} = Promise.withResolvers<number>();
  const server = serve(
    {
      fetch: options.fetch as Parameters<typeof serve>[0]['fetch'],
      hostname: options.address,
      port: options.port,
      serverOptions: {maxHeaderSize: MAXIMUM_HEADER_BYTES},
    },
    ({port}) => resolve(port),
  ) as Server;
  server.on('error', reject);
  server.on('clientError', answerClientError);
  server.prependListener('request', (_incoming, outgoing) => {
    open.add(outgoing);
    outgoing.once('close', () => open.delete(outgoing));
    if (isLeaving) outgoing.shouldKeepAlive = false;
  });

  return {
    port: await promise,
    startDraining() {
      isLeaving = true;
      for (const outgoing of open) outgoing.shouldKeepAlive = false;
    },
    stopListening: () => void server.close(),
    async finishResponses(waitMilliseconds) {
      const end = performance.now() + waitMilliseconds;
      while (open.size > 0 && performance.now() < end) {
        await sleep(POLL_MILLISECONDS);
      }
    },
  };
}
