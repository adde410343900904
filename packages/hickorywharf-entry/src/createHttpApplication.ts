import type {IncomingMessage} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import type {createMemoryBudget} from 'hickorywharf-gateway/createMemoryBudget';
import {readBody} from 'hickorywharf-gateway/readBody';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import type {ServeError} from 'hickorywharf-types/serveError';
import {freeBuffer} from 'hickorywharf-utils/freeBuffer';
import type {Responder} from './responder.ts';
import {createEventStreamResponder} from './createEventStreamResponder.ts';
import {createJsonResponder} from './createJsonResponder.ts';
import {toProblem} from './toProblem.ts';
import {readRequest} from './readRequest.ts';

interface HttpApplicationOptions {
  readonly maximumBodyBytes: number;
  /** Bounds the bodies of all requests together. */
  readonly memory: ReturnType<typeof createMemoryBudget>;
  readonly createRequestId: () => string;
  /** Why this entry is not ready, or null where it is. */
  readonly getUnreadyReason: () => string | null;
  readonly submit: (
    arrival: Extract<EntryEvent, {tag: 'requestArrived'}>,
    responder: Responder,
    callId: string | null,
  ) => void;
  readonly onCallerGone: (requestId: string) => void;
  readonly onError: (error: Error) => void;
}

/** Retry delay for callers whose body there was no memory for. */
const MEMORY_RETRY_SECONDS = 1;

function toResponse(error: ServeError, requestId: string): Response {
  const {status, headers, body} = toProblem(error, requestId);
  return new Response(JSON.stringify(body), {status, headers});
}

function createReceiveError(
  variant:
    | {tag: 'bodyTooLarge'; limitBytes: number}
    | {tag: 'unsupportedMediaType'}
    | {tag: 'overloaded'; retryAfterSeconds: number}
    | {tag: 'callerGone'}
    | {tag: 'unknownPath'},
  message: string,
): ServeError {
  return {...variant, step: 'receive', peer: null, outcome: 'notRun', message};
}

/**
 * The error for a body that was not read whole; the tag says why, null if its
 * caller disconnected.
 */
function toBodyError(tag: string | null, limitBytes: number): ServeError {
  if (tag === null) {
    return createReceiveError({tag: 'callerGone'}, 'The caller disconnected.');
  }
  return tag === 'bodyTooLarge'
    ? createReceiveError(
        {tag: 'bodyTooLarge', limitBytes},
        `The body is over ${limitBytes} bytes.`,
      )
    : createReceiveError(
        {tag: 'overloaded', retryAfterSeconds: MEMORY_RETRY_SECONDS},
        'Too many bytes of requests are held.',
      );
}

/**
 * Creates the HTTP interface of an entry for callers and the load balancer.
 *
 * @example
 *     serve({fetch: createHttpApplication(options).fetch, port});
 */
export function createHttpApplication(options: HttpApplicationOptions) {
  const {maximumBodyBytes, createRequestId, submit, onCallerGone} = options;
  const application = new Hono<{Bindings: HttpBindings}>();

  application.get('/health/live', (context) => context.json({live: true}));
  application.get('/health/ready', (context) => {
    const reason = options.getUnreadyReason();
    return context.json(
      {ready: reason === null, reason},
      reason === null ? 200 : 503,
    );
  });

  application.post('/v1/pipelines/:pipeline/requests', async (context) => {
    const requestId = createRequestId();
    const {headers} = context.req.raw;
    const {incoming, outgoing} = context.env;
    const contentType = headers.get('content-type') ?? '';
    if (!contentType.startsWith('application/json')) {
      const message = 'Send application/json.';
      return toResponse(
        createReceiveError({tag: 'unsupportedMediaType'}, message),
        requestId,
      );
    }
    const body = await readBody(incoming as IncomingMessage, {
      limitBytes: maximumBodyBytes,
      budget: options.memory,
      // Its outcome is not known any more.
      onDropped: () => void outgoing.destroy(),
    });
    if (body === null || body.isErr()) {
      const error = toBodyError(body?.error.tag ?? null, maximumBodyBytes);
      return toResponse(error, requestId);
    }
    const {bytes, release} = body.value;
    outgoing.once('close', release);
    const text = new TextDecoder().decode(bytes);
    freeBuffer(bytes);
    const read = readRequest({
      requestId,
      pipelineName: context.req.param('pipeline'),
      headers,
      text,
    });
    if (read.isErr()) return toResponse(read.error, requestId);
    const {arrival, isStream} = read.value;
    const onDisconnected = () => onCallerGone(requestId);
    const responder = isStream
      ? createEventStreamResponder(requestId, onDisconnected)
      : createJsonResponder(requestId);
    outgoing.once('close', onDisconnected);
    submit(arrival, responder, headers.get('call-id'));
    // The caller may have disconnected while its body was read.
    if (outgoing.destroyed) onDisconnected();
    return responder.response;
  });
  application.notFound(() =>
    toResponse(
      createReceiveError(
        {tag: 'unknownPath'},
        'No resource exists at this path.',
      ),
      '',
    ),
  );
  application.onError((error) => {
    options.onError(error);
    const message = 'The entry failed with an internal error.';
    return toResponse(
      {
        tag: 'internalError',
        step: 'receive',
        peer: null,
        outcome: 'unknown',
        message,
      },
      '',
    );
  });
  return application;
}
