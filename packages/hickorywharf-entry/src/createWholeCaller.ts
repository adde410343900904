import type {Caller} from './caller.ts';
import {createAnswer} from './createAnswer.ts';
import {problemFor} from './problemFor.ts';

interface WholeCaller extends Caller {
  readonly response: Promise<Response>;
}

/**
 * Answers a request with one JSON document, once it is whole.
 *
 * @example
 *     createWholeCaller('r-1').answer(outputs);
 */
export function createWholeCaller(requestId: string): WholeCaller {
  const {promise, resolve} = Promise.withResolvers<Response>();
  return {
    response: promise,
    deliverTokens: () => undefined,
    answer(outputs) {
      const headers = {'request-id': requestId};
      resolve(Response.json(createAnswer(requestId, outputs), {headers}));
    },
    fail(error) {
      const {status, headers, body} = problemFor(error, requestId);
      resolve(new Response(JSON.stringify(body), {status, headers}));
    },
  };
}
