import http from 'node:http';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {admitCall} from './admitCall.ts';
import type {CallContext} from './callContext.ts';
import {createResponseWriter} from './createResponseWriter.ts';
import {readBody} from './readBody.ts';
import {serveCall} from './serveCall.ts';

type ServeOptions = Parameters<typeof serveCall>[0];

interface CallServer {
  /** Gives the port, which the system chooses for 0. */
  listen(host: string, port: number): Promise<number>;
  /** Calls that have no whole answer yet. */
  getActiveCalls(): number;
  /** Follows the limits of a new configuration. */
  refresh(): void;
  /** Closes connections on which nothing is under way. */
  closeIdle(): void;
  close(): void;
}

/** Connections that wait to be taken, in a burst of callers. */
const ACCEPT_BACKLOG = 1024;
/** Until a configuration says what callers may do; the sheets' own figures. */
const FIRST_LIMITS: GatewayConfiguration['limits'] = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMilliseconds: 3000,
  idleMilliseconds: 15_000,
};
/** An endpoint's own answer at its time limit may take this long to arrive. */
const DEADLINE_SLACK_MILLISECONDS = 60;
const STOPPING_RETRY_MILLISECONDS = 100;

/**
 * Serves callers over HTTP/1.1. Each request gets one answer; a caller that
 * leaves ends what was begun for it.
 *
 * @example
 *     const server = createCallServer(options);
 *     await server.listen('10.1.0.41', 8625);
 */
export function createCallServer(options: ServeOptions): CallServer {
  const {settings, state, wire, log, metrics, getInstant} = options;
  let active = 0;

  function getLimits(): GatewayConfiguration['limits'] {
    return state.configuration?.limits ?? FIRST_LIMITS;
  }

  function endContext(context: CallContext): void {
    context.isEnded = true;
    for (const cleanup of [...context.cleanups]) cleanup();
    context.cleanups.clear();
  }

  function watchDeadline(
    context: CallContext,
    relay: ReturnType<typeof createResponseWriter>,
  ): NodeJS.Timeout {
    const left = context.deadlineAt - getInstant().monotonic;
    return setTimeout(
      () => {
        if (context.isEnded) return;
        endContext(context);
        metrics.count('calls', 'timedOut');
        log.infoRateLimited('timed out', {
          requestId: context.call.id,
          step: 'answer',
          route: context.route.name,
          isStarted: relay.isStarted,
        });
        if (relay.isStarted) return relay.abort();
        relay.refuse(
          {tag: 'timedOut', message: 'no answer within the time limit'},
          context.call.id,
        );
      },
      Math.max(0, left) + DEADLINE_SLACK_MILLISECONDS,
    );
  }

  async function handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const relay = createResponseWriter(response, state);
    const decoded = wire.parseCall(request.rawHeaders);
    if (decoded.isErr()) {
      relay.refuse({tag: 'invalidRequest', message: decoded.error}, null);
      return;
    }
    const call = decoded.value;
    if (state.isClosed) {
      relay.refuse(
        {
          tag: 'stopping',
          message: 'this instance stops',
          retryAfterMilliseconds: STOPPING_RETRY_MILLISECONDS,
        },
        call.id,
      );
      return;
    }
    const admitted = admitCall(state, settings, {
      call,
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      at: getInstant(),
    });
    if (admitted.isErr()) {
      metrics.count('calls', 'refused');
      metrics.count('refusals', admitted.error.tag);
      log.infoRateLimited('refused', {
        requestId: call.id,
        step: 'admit',
        refusal: admitted.error.tag,
        reason: admitted.error.message,
        version: state.configuration?.version ?? null,
      });
      relay.refuse(admitted.error, call.id);
      return;
    }
    const context = admitted.value;
    let isClosed = false;
    response.on('close', () => {
      isClosed = true;
      if (!response.writableFinished && !context.isEnded) {
        metrics.count('calls', 'callerLeft');
        log.infoRateLimited('caller left', {
          requestId: call.id,
          step: 'answer',
        });
      }
      endContext(context);
    });
    const body = await readBody(request, getLimits().bodyBytes);
    if (body === null || isClosed) return;
    if (body.isErr()) {
      relay.refuse(body.error, call.id);
      return;
    }
    const timer = watchDeadline(context, relay);
    try {
      await serveCall(options, {context, body: body.value, relay});
    } finally {
      clearTimeout(timer);
    }
  }

  const server = http.createServer(
    {
      maxHeaderSize: FIRST_LIMITS.headerBytes,
      headersTimeout: FIRST_LIMITS.headerMilliseconds,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_LIMITS.idleMilliseconds,
      noDelay: true,
    },
    (request, response) => {
      active += 1;
      response.once('close', () => {
        active -= 1;
      });
      void handle(request, response).catch((error: Error) => {
        log.infoAlways('a call broke off', {
          step: 'answer',
          error: error.stack,
        });
        response.destroy();
      });
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    log.infoRateLimited('bad request', {
      step: 'admit',
      reason: error.code ?? error.message,
    });
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? 431 : 400;
    const reason = http.STATUS_CODES[status];
    socket.end(
      `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  });

  return {
    listen: (host, port) =>
      listenOn(server, {host, port, backlog: ACCEPT_BACKLOG}),
    getActiveCalls: () => active,
    refresh() {
      const {headerBytes, headerMilliseconds, idleMilliseconds} = getLimits();
      // Node reads it for each connection; its types leave it out.
      Object.assign(server, {maxHeaderSize: headerBytes});
      server.headersTimeout = headerMilliseconds;
      server.keepAliveTimeout = idleMilliseconds;
    },
    closeIdle: () => server.closeIdleConnections(),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
