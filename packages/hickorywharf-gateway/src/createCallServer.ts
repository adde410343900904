import http from 'node:http';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import {createResponseTracker} from 'hickorywharf-utils/createResponseTracker';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {admitCall} from './admitCall.ts';
import type {CallContext} from './callContext.ts';
import {createConnectionGuard} from './createConnectionGuard.ts';
import {createResponseWriter} from './createResponseWriter.ts';
import {readBody} from './readBody.ts';
import {refuseMalformed} from './refuseMalformed.ts';
import type {Refusal} from './refusal.ts';
import {serveCall} from './serveCall.ts';
import {STOPPING_REFUSAL} from './stoppingRefusal.ts';

type CallServerOptions = Parameters<typeof serveCall>[0] & {
  /** Connections of callers that may be open together. */
  readonly maximumConnections: number;
};

interface OpenCall {
  readonly context: CallContext;
  readonly writer: ReturnType<typeof createResponseWriter>;
}

interface CallServer {
  /** Resolves with the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number>;
  /** Number of requests without a complete response. */
  getActiveCalls(): number;
  /** Applies the limits of the active configuration. */
  refresh(): void;
  /** Closes connections on which no response is to be sent. */
  closeIdle(): void;
  /** Refuses the calls that can't finish before this instance ends. */
  refuseUnfinishable(): void;
  /**
   * Ends all requests in flight: refuses those whose response has not started,
   * and breaks off those whose response is not whole.
   */
  endCalls(): void;
  /** Closes all connections, also those with a request in flight. */
  close(): void;
}

/** Length of the accept queue, for bursts of new connections. */
const ACCEPT_BACKLOG = 1024;
/** The deployment's limits, used until a configuration is active. */
const DEFAULT_LIMITS: GatewayConfiguration['limits'] = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMilliseconds: 3000,
  idleMilliseconds: 15_000,
};
/**
 * Added to a call's deadline, so that a response that its endpoint sends at the
 * deadline can still arrive.
 */
const DEADLINE_SLACK_MILLISECONDS = 60;
/** Retry delay for callers whose request was not sent before its deadline. */
const UNSENT_RETRY_MILLISECONDS = 300;

/**
 * Serves callers over HTTP/1.1. Each request gets one response; if the caller
 * disconnects, its stages and attempts are cancelled.
 *
 * @example
 *     const server = createCallServer(options);
 *     await server.listen('10.1.0.41', 8625); // 8625
 */
export function createCallServer(options: CallServerOptions): CallServer {
  const {settings, state, wire, log, metrics, stopForecast, getInstant} =
    options;
  let active = 0;
  const responses = createResponseTracker();
  /** The admitted calls, by their responses, until these are closed. */
  const openCalls = new Map<http.ServerResponse, OpenCall>();

  function getLimits(): GatewayConfiguration['limits'] {
    return state.configuration?.limits ?? DEFAULT_LIMITS;
  }

  function endCall(context: CallContext): void {
    context.isEnded = true;
    for (const cleanup of [...context.cleanups]) cleanup();
    context.cleanups.clear();
  }

  function startDeadlineTimer(
    context: CallContext,
    writer: ReturnType<typeof createResponseWriter>,
  ): NodeJS.Timeout {
    const remaining = context.deadlineAt - getInstant().monotonic;
    return setTimeout(
      () => {
        if (context.isEnded) return;
        endCall(context);
        metrics.count('calls', 'timedOut');
        log.infoRateLimited('request timed out', {
          requestId: context.call.id,
          step: 'answer',
          route: context.route.name,
          isSent: context.isSent,
          isStarted: writer.isStarted,
        });
        if (writer.isStarted) return writer.abort();
        writer.refuse(
          context.isSent
            ? {tag: 'timedOut', message: 'no answer within the time limit'}
            : {
                tag: 'deadlineExceeded',
                message: 'the time limit passed before the request was sent',
                retryAfterMilliseconds: UNSENT_RETRY_MILLISECONDS,
              },
          context.call.id,
        );
      },
      Math.max(0, remaining) + DEADLINE_SLACK_MILLISECONDS,
    );
  }

  /** Ends a call of an instance that has no more time to wait for it. */
  function endUnfinished({context, writer}: OpenCall): void {
    endCall(context);
    const refusal: Refusal = context.isSent
      ? {tag: 'interrupted', message: 'this instance stops without an answer'}
      : STOPPING_REFUSAL;
    metrics.count('refusals', refusal.tag);
    log.infoRateLimited('request ended by the stop', {
      requestId: context.call.id,
      step: 'stop',
      route: context.route.name,
      isSent: context.isSent,
      isStarted: writer.isStarted,
      waitsFor: context.wait?.reason ?? null,
      waitedMilliseconds:
        context.wait === null
          ? null
          : Math.round(getInstant().monotonic - context.wait.startedAt),
    });
    writer.refuse(refusal, context.call.id);
  }

  /** Ends a call whose body there is no memory for any more. */
  function dropCall({context, writer}: OpenCall, refusal: Refusal): void {
    if (context.isEnded) return;
    endCall(context);
    const ending: Refusal = context.isSent
      ? {tag: 'interrupted', message: refusal.message}
      : refusal;
    metrics.count('refusals', ending.tag);
    writer.refuse(ending, context.call.id);
  }

  /** Responds to a request that could not be served for an unexpected error. */
  function handleError(
    error: Error,
    response: http.ServerResponse,
    writer: ReturnType<typeof createResponseWriter>,
  ): void {
    const context = openCalls.get(response)?.context;
    const requestId = context?.call.id ?? null;
    log.infoAlways('unexpected error while serving a request', {
      requestId,
      step: 'answer',
      error: error.stack,
    });
    if (context !== undefined) endCall(context);
    if (response.writableEnded) return;
    metrics.count('refusals', 'interrupted');
    writer.refuse({tag: 'interrupted', message: 'unexpected error'}, requestId);
  }

  async function handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    writer: ReturnType<typeof createResponseWriter>,
  ): Promise<void> {
    const decoded = wire.parseCall(request.rawHeaders);
    if (decoded.isErr()) {
      writer.refuse({tag: 'invalidRequest', message: decoded.error}, null);
      return;
    }
    const call = decoded.value;
    if (state.isClosed) {
      writer.refuse(STOPPING_REFUSAL, call.id);
      return;
    }
    const receivedAt = getInstant();
    const configurationAge = state.configurationFreshness.getAge(receivedAt);
    // Infinite before the first configuration.
    if (Number.isFinite(configurationAge)) {
      metrics.time('configurationAge', configurationAge);
    }
    const admitted = admitCall(state, settings, {
      call,
      // Node always sets method and URL here; only its types allow undefined.
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      receivedAt,
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
        configurationAge: Number.isFinite(configurationAge)
          ? Math.round(configurationAge)
          : null,
      });
      writer.refuse(admitted.error, call.id);
      return;
    }
    const context = admitted.value;
    // Kept until the response is sent, as a caller may not read it.
    const timer = startDeadlineTimer(context, writer);
    openCalls.set(response, {context, writer});
    response.on('close', () => {
      clearTimeout(timer);
      openCalls.delete(response);
      if (!response.writableFinished && !context.isEnded) {
        metrics.count('calls', 'callerLeft');
        log.infoRateLimited('caller disconnected', {
          requestId: call.id,
          step: 'answer',
        });
      }
      endCall(context);
    });
    const body = await readBody(request, {
      limitBytes: getLimits().bodyBytes,
      budget: options.memory,
      onDropped: (refusal) => dropCall({context, writer}, refusal),
    });
    if (body === null) return;
    if (context.isEnded) {
      if (body.isOk()) body.value.release();
      return;
    }
    if (body.isErr()) {
      metrics.count('refusals', body.error.tag);
      writer.refuse(body.error, call.id);
      return;
    }
    context.wait = null;
    const {bytes, release} = body.value;
    if (state.isClosed) {
      release();
      endUnfinished({context, writer});
      return;
    }
    try {
      await serveCall(options, {context, body: bytes, relay: writer});
    } finally {
      release();
    }
  }

  /** Closes the connection if the rest of a request arrives too slowly. */
  function limitUnreadRequest(request: http.IncomingMessage): void {
    if (request.complete) return;
    setTimeout(() => {
      if (!request.complete) request.socket.destroy();
    }, getLimits().headerMilliseconds).unref();
  }

  const guard = createConnectionGuard({
    maximumConnections: options.maximumConnections,
    getHeadMilliseconds: () => getLimits().headerMilliseconds,
    now: () => getInstant().monotonic,
    onLateHead(socket) {
      log.infoRateLimited('head not in time', {step: 'admit'});
      refuseMalformed(socket, 'ERR_HTTP_REQUEST_TIMEOUT');
    },
    onClose: (kind) => metrics.count('closedConnections', kind),
  });
  const server = http.createServer(
    {
      maxHeaderSize: DEFAULT_LIMITS.headerBytes,
      headersTimeout: DEFAULT_LIMITS.headerMilliseconds,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_LIMITS.idleMilliseconds,
      noDelay: true,
    },
    (request, response) => {
      active += 1;
      responses.add(response);
      guard.recordRequest(response);
      response.once('close', () => {
        active -= 1;
      });
      response.once('finish', () => limitUnreadRequest(request));
      const writer = createResponseWriter(response, state);
      void handle(request, response, writer).catch((error: Error) =>
        handleError(error, response, writer),
      );
    },
  );
  server.on('connection', guard.add);
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    log.infoRateLimited('malformed request', {
      step: 'admit',
      reason: error.code ?? error.message,
    });
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    if (responses.finishMalformed(error, socket)) return;
    refuseMalformed(socket, error.code ?? '');
  });

  return {
    listen: (host, port) =>
      listenOn(server, {host, port, backlog: ACCEPT_BACKLOG}),
    getActiveCalls: () => active,
    refresh() {
      const {headerBytes, headerMilliseconds, idleMilliseconds} = getLimits();
      // Node reads this property for each connection; its types lack it.
      Object.assign(server, {maxHeaderSize: headerBytes});
      server.headersTimeout = headerMilliseconds;
      server.keepAliveTimeout = idleMilliseconds;
    },
    closeIdle: responses.closeIdle,
    refuseUnfinishable() {
      // Those at no endpoint: not sent, or waiting to be sent once more.
      const waiting = [...openCalls.values()].filter(
        ({context, writer}) =>
          !context.isEnded &&
          !writer.isStarted &&
          (!context.isSent || context.wait !== null),
      );
      stopForecast.recordWaits(waiting.map(({context}) => context));
      for (const call of waiting) {
        if (!stopForecast.canFinish(call.context)) endUnfinished(call);
      }
    },
    endCalls() {
      for (const [response, call] of [...openCalls]) {
        if (!response.writableEnded) endUnfinished(call);
      }
    },
    close() {
      guard.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
