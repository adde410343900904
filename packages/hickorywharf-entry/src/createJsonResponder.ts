import type {Responder} from './responder.ts';
import {createAnswer} from './createAnswer.ts';
import {toProblem} from './toProblem.ts';

interface WholeCaller extends Responder {
  readonly response: Promise<Response>;
}

/**
 * Answers a request with one JSON document, once it is whole.
 *
 * @example
 *     createJsonResponder('r-1').answer(outputs);
 */
export function createJsonResponder(requestId: string): WholeCaller {
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
