import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {createSilenceTimer} from 'hickorywharf-utils/createSilenceTimer';
import type {AttemptFailure} from './attemptFailure.ts';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import {createBodyBuffer} from 'hickorywharf-utils/createBodyBuffer';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEngineWork} from './createEngineWork.ts';
import type {CallWatch} from './callWatch.ts';
import type {createEventSplitter} from './createEventSplitter.ts';
import type {createMemoryBudget} from './createMemoryBudget.ts';
import type {createResponseWriter} from './createResponseWriter.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {ReservedConnection} from './reservedConnection.ts';

interface AttemptOptions {
  readonly context: CallContext;
  readonly endpoint: GatewayEndpoint;
  readonly inputs: readonly string[];
  readonly body: Buffer;
  /** Writes the response to the caller. */
  readonly relay: ReturnType<typeof createResponseWriter>;
  /** Shared by all attempts of the call: a resumed stream needs the last id. */
  readonly splitter: ReturnType<typeof createEventSplitter>;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly engines: ReturnType<typeof createEngineWork>;
  /** Shared by all calls of the instance. */
  readonly memory: ReturnType<typeof createMemoryBudget>;
  /** Is told what becomes of the call, and ended with it. */
  readonly watch: CallWatch;
  /**
   * Time for a whole response, or for the first event of a stream, after which
   * the endpoint counts as silent. Null if the call may not run again, and waits
   * for its endpoint in any case.
   */
  readonly responseTimeoutMilliseconds: number | null;
  /** An open connection to the endpoint to use; null for any other one. */
  readonly connection: ReservedConnection | null;
  /** Monotonic milliseconds. */
  now(): number;
  /** Called when the endpoint is silent. The attempt goes on. */
  onSilence(): void;
  /**
   * Called when the endpoint has taken the call and answers it: with each read
   * of its stream, and before a whole answer with a status of success is passed
   * to the caller.
   */
  onAccepted(): void;
  /** Called before the first event of a stream is passed to the caller. */
  onFirstEvent(): void;
  /** Called for complete events that arrived, before they are passed on. */
  onProgress(): void;
}

/**
 * Time without a complete event, after the first, after which the endpoint of a
 * stream that can resume counts as silent.
 */
const EVENT_TIMEOUT_MILLISECONDS = 1200;
/**
 * The longest response that is not a stream; as the deployment's limit for the
 * bodies of requests.
 */
const MAXIMUM_RESPONSE_BYTES = 4_194_304;
/** The longest event of a stream; events usually have some hundred bytes. */
const MAXIMUM_EVENT_BYTES = 65_536;
/** One attempt of a stream: 100,000 tokens, each with an event of 160 bytes. */
const MAXIMUM_STREAM_BYTES = 16_777_216;
/** Least time left that is sent to an endpoint, also after the deadline. */
const MINIMUM_TIME_MILLISECONDS = 1;

/**
 * Sends a call to an endpoint and forwards its response. A response is accepted
 * only if it names the request, carries the endpoint's signature and has no
 * content encoding. One that says that the call did not run needs no signature;
 * without the name of the request, it has to be the first response of its
 * connection. A stream is forwarded in complete events, so that it can resume at
 * another endpoint.
 *
 * @returns never rejects
 * @example
 *     const result = await attemptCall(options);
 */
export function attemptCall(options: AttemptOptions): Promise<AttemptResult> {
  const {
    context,
    endpoint,
    relay: writer,
    splitter,
    wire,
    health,
    watch,
    now,
  } = options;
  const {call} = context;
  const startedAt = now();
  const load = options.engines.startCall(endpoint, call);

  return new Promise((resolve) => {
    let isSettled = false;
    let head: ResponseHead | null = null;
    let isStreaming = false;
    let streamBytes = 0;
    /** Bytes of events that a slow caller has not taken. */
    let unreadBytes = 0;
    const responseBody = createBodyBuffer(MAXIMUM_RESPONSE_BYTES);
    let isSilent = false;
    const silenceTimer = createSilenceTimer(() => {
      isSilent = true;
      health.recordSilence(endpoint.id, now());
      options.onSilence();
    });

    // Kept until the call ends, as a slow caller may still read the response.
    const memory = options.memory.open('arrivingResponse', () => {
      if (isSettled || unreadBytes > 0) writer.abort();
      else failAttempt('size', 'too many bytes of responses are held');
    });
    context.cleanups.add(memory.close);

    function settle(result: AttemptResult): void {
      if (isSettled) return;
      isSettled = true;
      silenceTimer.stop();
      context.cleanups.delete(abandon);
      load.end();
      if (result.tag !== 'delivered' && result.tag !== 'failed') {
        memory.close();
        responseBody.free();
      }
      watch.end();
      resolve(result);
    }
    function abandon(): void {
      exchange.abort();
      settle({tag: 'callerGone'});
    }
    function failAttempt(failure: AttemptFailure, reason: string): void {
      if (isSettled) return;
      exchange.abort();
      health.recordFailure(endpoint.id, now());
      const tag = writer.isStarted ? 'broken' : 'unknown';
      settle({tag, failure, reason});
    }
    function restartTimer(milliseconds: number): void {
      if (options.responseTimeoutMilliseconds === null || isSettled) return;
      isSilent = false;
      silenceTimer.restart(milliseconds);
    }

    function handleHead(response: ResponseHead, isFirst: boolean): void {
      if (response.requestId !== null && response.requestId !== call.id) {
        return failAttempt(
          'unproven',
          `the answer is to request ${response.requestId}`,
        );
      }
      head = response;
      if (response.isNotRun && (response.requestId !== null || isFirst)) {
        options.limiter.recordHead(endpoint, response);
        return;
      }
      if (
        response.requestId === null ||
        !response.isSigned ||
        response.isEncoded
      ) {
        // The id alone proves which request was turned away.
        if (response.requestId !== null) {
          options.limiter.recordAvailability(endpoint, response);
        }
        return failAttempt(
          'unproven',
          `an answer of status ${response.status} without proof`,
        );
      }
      options.limiter.recordHead(endpoint, response);
      const isSuccess = response.status >= 200 && response.status < 300;
      isStreaming = isSuccess && response.isEventStream;
      if (writer.isStarted && !isStreaming) {
        failAttempt(
          'unproven',
          `status ${response.status}, no stream, in place of its rest`,
        );
      }
      if (!isStreaming) return;
      options.onAccepted();
      if (isSilent) restartTimer(options.responseTimeoutMilliseconds ?? 0);
    }

    function handleEvents(chunk: Buffer): void {
      streamBytes += chunk.length;
      if (streamBytes > MAXIMUM_STREAM_BYTES) {
        return failAttempt(
          'size',
          `the stream is longer than ${MAXIMUM_STREAM_BYTES} bytes`,
        );
      }
      const events = splitter.append(chunk);
      if (splitter.getRemainderLength() > MAXIMUM_EVENT_BYTES) {
        return failAttempt(
          'size',
          `an event is longer than ${MAXIMUM_EVENT_BYTES} bytes`,
        );
      }
      if (events === null) return;
      options.onAccepted();
      health.recordProgress(endpoint.id);
      options.onProgress();
      restartTimer(EVENT_TIMEOUT_MILLISECONDS);
      watch.recordEvents();
      if (!writer.isStarted) {
        load.recordPrefillDone();
        options.onFirstEvent();
        health.recordResponse(endpoint.id, now() - startedAt);
        writer.startStream(head!);
      }
      if (!writer.sendEvents(events)) {
        // The caller is slow, not the endpoint.
        silenceTimer.stop();
        exchange.pause();
        unreadBytes += events.length;
        memory.setKind('unreadResponse');
        memory.add(events.length);
        writer.onDrain(() => {
          memory.subtract(unreadBytes);
          unreadBytes = 0;
          restartTimer(EVENT_TIMEOUT_MILLISECONDS);
          exchange.resume();
        });
      }
    }

    function handleBody(chunk: Buffer): void {
      const {length} = chunk;
      if (!responseBody.append(chunk)) {
        return failAttempt(
          'size',
          `the response is longer than ${MAXIMUM_RESPONSE_BYTES} bytes`,
        );
      }
      memory.add(length);
    }

    /** Null if the stream may be whole. */
    function describeBreakOff(isFramed: boolean): string | null {
      if (splitter.getRemainder().length > 0) {
        return 'the stream ended within an event';
      }
      if (!isFramed && streamBytes === 0) {
        return 'the stream ended before its first event';
      }
      return null;
    }

    function handleEnd(isFramed: boolean): void {
      if (head === null) return failAttempt('incomplete', 'no answer');
      if (head.isNotRun) {
        const isInputGone = head.status === 409;
        settle(
          isInputGone
            ? {tag: 'inputGone'}
            : {tag: 'notRun', reason: `status ${head.status}`},
        );
        return;
      }
      if (isStreaming) {
        const breakOff = describeBreakOff(isFramed);
        if (breakOff !== null) {
          watch.recordBroken(breakOff);
          return failAttempt('incomplete', breakOff);
        }
        if (isFramed) watch.recordAnswer();
        if (!writer.isStarted) writer.startStream(head);
        writer.endStream();
        return settle({tag: 'delivered'});
      }
      const body = responseBody.toBuffer();
      const isSuccess = head.status >= 200 && head.status < 300;
      if (!isSuccess) return settle({tag: 'failed', head, body});
      options.onAccepted();
      watch.recordAnswer();
      health.recordResponse(endpoint.id, now() - startedAt);
      memory.setKind('unreadResponse');
      writer.sendResponse(head, body);
      settle({tag: 'delivered'});
    }

    const exchange = options.endpointClient.send({
      host: endpoint.host,
      port: endpoint.port,
      method: context.method,
      path: context.target,
      requestId: call.id,
      headers: wire.formatCallHeaders({
        call,
        timeLeftMilliseconds: Math.max(
          MINIMUM_TIME_MILLISECONDS,
          Math.floor(context.deadlineAt - startedAt),
        ),
        endpointId: endpoint.id,
        account: context.account,
        inputs: options.inputs,
        lastEventId: splitter.getLastId() ?? call.lastEventId,
        urgency: context.route.isSticky ? Math.min(context.priority, 9) : null,
        bodyBytes:
          options.body.length > 0 || context.method !== 'GET'
            ? options.body.length
            : null,
      }),
      body: options.body.length > 0 ? options.body : null,
      needsNewConnection: !context.isRetryable,
      isExclusive: false,
      connection: options.connection,
      mayStillSend: () => !options.limiter.isWithdrawn(endpoint),
      onHead: handleHead,
      onData(chunk) {
        if (isSettled) return;
        if (isStreaming) handleEvents(chunk);
        else handleBody(chunk);
      },
      onEnd: handleEnd,
      onFailure({tag, message}) {
        if (tag === 'unsent') {
          if (!options.limiter.isWithdrawn(endpoint)) {
            health.recordFailure(endpoint.id, now());
          }
          settle({tag: 'notRun', reason: message});
          return;
        }
        watch.recordBroken(message);
        failAttempt('connection', message);
      },
    });
    context.cleanups.add(abandon);
    restartTimer(options.responseTimeoutMilliseconds ?? 0);
  });
}
