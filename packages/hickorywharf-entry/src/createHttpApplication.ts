import type {HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import type {ServeError} from 'hickorywharf-types/serveError';
import type {Responder} from './responder.ts';
import {createEventStreamResponder} from './createEventStreamResponder.ts';
import {createJsonResponder} from './createJsonResponder.ts';
import {toProblem} from './toProblem.ts';
import {readRequest} from './readRequest.ts';

interface HttpApplicationOptions {
  readonly maximumBodyBytes: number;
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

function toResponse(error: ServeError, requestId: string): Response {
  const {status, headers, body} = toProblem(error, requestId);
  return new Response(JSON.stringify(body), {status, headers});
}

function createReceiveError(
  variant:
    | {tag: 'bodyTooLarge'; limitBytes: number}
    | {tag: 'unsupportedMediaType'}
    | {tag: 'unknownPath'},
  message: string,
): ServeError {
  return {...variant, step: 'receive', peer: null, outcome: 'notRun', message};
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

  application.post(
    '/v1/pipelines/:pipeline/requests',
    bodyLimit({
      maxSize: maximumBodyBytes,
      onError: () =>
        toResponse(
          createReceiveError(
            {tag: 'bodyTooLarge', limitBytes: maximumBodyBytes},
            `The body is over ${maximumBodyBytes} bytes.`,
          ),
          createRequestId(),
        ),
    }),
    async (context) => {
      const requestId = createRequestId();
      const {headers} = context.req.raw;
      const contentType = headers.get('content-type') ?? '';
      if (!contentType.startsWith('application/json')) {
        const message = 'Send application/json.';
        return toResponse(
          createReceiveError({tag: 'unsupportedMediaType'}, message),
          requestId,
        );
      }
      const read = readRequest({
        requestId,
        pipelineName: context.req.param('pipeline'),
        headers,
        text: await context.req.text(),
      });
      if (read.isErr()) return toResponse(read.error, requestId);
      const {arrival, isStream} = read.value;
      const onDisconnected = () => onCallerGone(requestId);
      const responder = isStream
        ? createEventStreamResponder(requestId, onDisconnected)
        : createJsonResponder(requestId);
      const {outgoing} = context.env;
      outgoing.once('close', onDisconnected);
      submit(arrival, responder, headers.get('call-id'));
      // The caller may have disconnected while its body was read.
      if (outgoing.destroyed) onDisconnected();
      return responder.response;
    },
  );
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
