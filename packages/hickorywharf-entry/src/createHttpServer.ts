import type {Server, ServerResponse} from 'node:http';
import {serve} from '@hono/node-server';
import {createConnectionGuard} from 'hickorywharf-gateway/createConnectionGuard';
import {createResponseTracker} from 'hickorywharf-utils/createResponseTracker';
import {sleep} from 'hickorywharf-utils/sleep';
import {answerClientError} from './answerClientError.ts';

interface HttpServerOptions {
  readonly fetch: (request: Request, ...rest: never[]) => unknown;
  readonly address: string;
  readonly port: number;
  /** Connections of callers that may be open together. */
  readonly maximumConnections: number;
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

/** Node's code for a head that does not arrive in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const MAXIMUM_HEADER_BYTES = 16 * 1024;
const POLL_MILLISECONDS = 20;
/** Time in which the head of a request has to arrive. */
const HEAD_MILLISECONDS = 10_000;
/** Time for the rest of a request after its response. */
const UNREAD_MILLISECONDS = 3000;

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
      // It reads the rest of a refused request, which is limited here.
      autoCleanupIncoming: false,
    },
    ({port}) => resolve(port),
  ) as Server;
  const guard = createConnectionGuard({
    maximumConnections: options.maximumConnections,
    getHeadMilliseconds: () => HEAD_MILLISECONDS,
    now: () => performance.now(),
    onLateHead(socket) {
      const error = new Error('the head did not arrive in time');
      answerClientError(Object.assign(error, {code: HEAD_TIMEOUT}), socket);
    },
    onClose: () => undefined,
  });
  server.on('connection', guard.add);
  server.on('close', guard.close);
  server.on('error', reject);
  server.on('clientError', (error, socket) => {
    if (!responses.finishMalformed(error, socket)) {
      answerClientError(error, socket);
    }
  });
  server.prependListener('request', (incoming, outgoing) => {
    open.add(outgoing);
    guard.recordRequest(outgoing);
    outgoing.once('finish', () => {
      if (incoming.complete) return;
      setTimeout(() => {
        if (!incoming.complete) incoming.socket.destroy();
      }, UNREAD_MILLISECONDS).unref();
    });
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
