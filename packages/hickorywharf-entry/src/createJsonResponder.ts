import type {Responder} from './responder.ts';
import {createAnswer} from './createAnswer.ts';
import {toProblem} from './toProblem.ts';

interface JsonResponder extends Responder {
  readonly response: Promise<Response>;
}

/**
 * Creates a responder that sends one JSON document once the answer is complete.
 *
 * @example
 *     createJsonResponder('r-1').answer(outputs);
 */
export function createJsonResponder(requestId: string): JsonResponder {
  const {promise, resolve} = Promise.withResolvers<Response>();
  return {
    response: promise,
    deliverTokens: () => undefined,
    answer(outputs) {
      const headers = {'request-id': requestId};
      resolve(Response.json(createAnswer(requestId, outputs), {headers}));
    },
    fail(error) {
      const {status, headers, body} = toProblem(error, requestId);
      resolve(new Response(JSON.stringify(body), {status, headers}));
    },
  };
}
