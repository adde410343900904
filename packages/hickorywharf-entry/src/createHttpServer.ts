import type {Server, ServerResponse} from 'node:http';
import {serve} from '@hono/node-server';
import {createResponseTracker} from 'hickorywharf-utils/createResponseTracker';
import {sleep} from 'hickorywharf-utils/sleep';
import {answerClientError} from './answerClientError.ts';

interface HttpServerOptions {
  readonly fetch: (request: Request, ...rest: never[]) => unknown;
  readonly address: string;
  readonly port: number;
}

interface HttpServer {
  readonly port: number;
  /** Ends keep-alive, so that callers send their next request elsewhere. */
  startDraining(): void;
  /** Accepts no more connections. */
  stopListening(): void;
  /** Resolves once all responses are sent in full, or after the wait. */
  finishResponses(waitMilliseconds: number): Promise<void>;
}

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const POLL_MILLISECONDS = 20;

/**
 * Starts the HTTP server of an entry; resolves once it listens, and rejects if
 * it cannot. It tracks the responses that are not yet sent in full, so that a
 * planned stop truncates none.
 *
 * @example
 *     const server = await createHttpServer({fetch, address, port});
 *     server.startDraining();
 */
export async function createHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const open = new Set<ServerResponse>();
  const responses = createResponseTracker();
  let isDraining = false;
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
  server.on('clientError', (error, socket) => {
    if (!responses.finishMalformed(error, socket)) {
      answerClientError(error, socket);
    }
  });
  server.prependListener('request', (_incoming, outgoing) => {
    open.add(outgoing);
    responses.add(outgoing);
    outgoing.once('close', () => open.delete(outgoing));
    if (isDraining) outgoing.shouldKeepAlive = false;
  });

  return {
    port: await promise,
    startDraining() {
      isDraining = true;
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
