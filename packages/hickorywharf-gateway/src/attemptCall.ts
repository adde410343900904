import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import type {createResponseWriter} from './createResponseWriter.ts';
import type {createEndpointLoads} from './createEndpointLoads.ts';
import type {createEventSplitter} from './createEventSplitter.ts';
import type {EndpointClient} from './endpointClient.ts';

interface AttemptOptions {
  readonly context: CallContext;
  readonly endpoint: GatewayEndpoint;
  readonly inputs: readonly string[];
  readonly body: Buffer;
  readonly relay: ReturnType<typeof createResponseWriter>;
  /** Of the whole call, so that a resumed stream goes on after it. */
  readonly splitter: ReturnType<typeof createEventSplitter>;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly loads: ReturnType<typeof createEndpointLoads>;
  /** Silence after which the call goes elsewhere; null if it may not. */
  readonly idleTimeoutMilliseconds: number | null;
  now(): number;
  /** The endpoint has read the stage results. */
  onInputsRead(): void;
}

/** A stream that may go on elsewhere is silent at most this long. */
const EVENT_SILENCE_MILLISECONDS = 1200;
const MINIMUM_TIME_MILLISECONDS = 1;

/**
 * Sends a call to an endpoint and passes its answer on. An answer counts only
 * if the endpoint names the request and has signed it; a stream goes on by
 * whole events.
 *
 * @example
 *     const result = await attemptCall(options);
 */
export function attemptCall(options: AttemptOptions): Promise<AttemptResult> {
  const {context, endpoint, relay, splitter, wire, health, now} = options;
  const {call} = context;
  const startedAt = now();
  const load = options.loads.begin(endpoint.id, call.promptTokens);

  return new Promise((resolve) => {
    let isSettled = false;
    let head: ResponseHead | null = null;
    let isStreaming = false;
    const chunks: Buffer[] = [];
    let silence: NodeJS.Timeout | null = null;

    function settle(result: AttemptResult): void {
      if (isSettled) return;
      isSettled = true;
      if (silence !== null) clearTimeout(silence);
      context.cleanups.delete(abandon);
      load.ended();
      resolve(result);
    }
    function abandon(): void {
      exchange.abort();
      settle({tag: 'callerGone'});
    }
    function lose(reason: string): void {
      if (isSettled) return;
      exchange.abort();
      health.recordFailure(endpoint.id, now());
      settle(
        relay.isStarted ? {tag: 'broken', reason} : {tag: 'unknown', reason},
      );
    }
    function watchSilence(milliseconds: number): void {
      if (options.idleTimeoutMilliseconds === null) return;
      if (silence !== null) clearTimeout(silence);
      silence = setTimeout(
        () => lose(`silent for ${Math.round(milliseconds)} ms`),
        milliseconds,
      );
    }

    function takeHead(answer: ResponseHead): void {
      if (answer.requestId !== null && answer.requestId !== call.id) {
        return lose('the answer is to another request');
      }
      head = answer;
      if (answer.isNotRun) return;
      if (answer.requestId === null || !answer.isSigned || answer.isEncoded) {
        return lose(`an answer of status ${answer.status} without proof`);
      }
      const isSuccess = answer.status >= 200 && answer.status < 300;
      isStreaming = isSuccess && answer.isEventStream;
    }

    function takeEvents(chunk: Buffer): void {
      const events = splitter.take(chunk);
      watchSilence(EVENT_SILENCE_MILLISECONDS);
      if (events === null) return;
      if (!relay.isStarted) {
        load.recordPrefillDone();
        options.onInputsRead();
        health.recordResponse(endpoint.id, now() - startedAt);
        relay.startStream(head!);
      }
      if (!relay.sendEvents(events)) {
        exchange.pause();
        relay.onDrain(() => exchange.resume());
      }
    }

    function takeEnd(): void {
      if (head === null) return lose('no answer');
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
        if (splitter.getRemainder().length > 0) {
          return lose('the stream ended within an event');
        }
        if (!relay.isStarted) relay.startStream(head);
        relay.endStream();
        return settle({tag: 'delivered'});
      }
      const body = Buffer.concat(chunks);
      const isSuccess = head.status >= 200 && head.status < 300;
      if (!isSuccess) return settle({tag: 'failed', head, body});
      health.recordResponse(endpoint.id, now() - startedAt);
      relay.sendResponse(head, body);
      settle({tag: 'delivered'});
    }

    const exchange = options.endpointClient.send({
      host: endpoint.host,
      port: endpoint.port,
      method: context.method,
      path: context.target,
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
      onHead: takeHead,
      onData(chunk) {
        if (isSettled) return;
        if (isStreaming) takeEvents(chunk);
        else chunks.push(chunk);
      },
      onEnd: takeEnd,
      onFailure({tag, message}) {
        if (tag === 'unsent') {
          health.recordFailure(endpoint.id, now());
          settle({tag: 'notRun', reason: message});
          return;
        }
        lose(message);
      },
    });
    context.cleanups.add(abandon);
    watchSilence(options.idleTimeoutMilliseconds ?? 0);
  });
}
