import {ResultAsync} from 'neverthrow';
import type {StageKind} from 'hickorywharf-types/stageKind';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import * as z from 'zod';
import type {Backend} from './backend.ts';
import {BACKEND_LIMITS} from './backendLimits.ts';
import {createBackendAgent} from './createBackendAgent.ts';
import {parseResponse} from './parseResponse.ts';
import {postJson} from './postJson.ts';
import {toBackendError} from './toBackendError.ts';

type ResponseParser = (response: unknown) => StageOutput;

const vectorSchema = z.object({vector: z.array(z.number())});
const documentsSchema = z.object({documents: z.array(z.string())});

const RESPONSE_PARSERS: Partial<Record<StageKind, ResponseParser>> = {
  encode: (response) => ({
    kind: 'encode',
    vector: parseResponse(vectorSchema, response).vector,
  }),
  retrieve: (response) => ({
    kind: 'retrieve',
    documents: parseResponse(documentsSchema, response).documents,
  }),
  rerank: (response) => ({
    kind: 'rerank',
    documents: parseResponse(documentsSchema, response).documents,
  }),
};

/**
 * Creates the adapter of one member of a pool of encoders, retrievers or
 * rerankers.
 *
 * @param url base address of the member
 * @example
 *     createPoolBackend('http://127.0.0.1:9001');
 */
export function createPoolBackend(url: string): Backend {
  const dispatcher = createBackendAgent({
    maxResponseSize: BACKEND_LIMITS.maximumResponseBytes,
  });

  async function execute({
    attempt,
    signal,
  }: Parameters<Backend['run']>[0]): Promise<StageOutput> {
    const {kind, input, requestId, traceparent} = attempt;
    const parse = RESPONSE_PARSERS[kind];
    if (parse === undefined) throw new Error(`a pool cannot run '${kind}'`);
    const target = `${url}/v1/${kind}`;
    const body = {...input, requestId};
    return parse(
      await postJson({url: target, body, traceparent, dispatcher, signal}),
    );
  }

  return {
    run: (options) =>
      ResultAsync.fromPromise(execute(options), (error) =>
        toBackendError(error, url),
      ),
  };
}
