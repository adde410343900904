import {ResultAsync} from 'neverthrow';
import {Agent} from 'undici';
import type {StageKind} from 'hickorywharf-types/stageKind';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import type {Backend} from './backend.ts';
import {postJson} from './postJson.ts';
import {toBackendError} from './toBackendError.ts';

type Reader = (reply: Record<string, unknown>) => StageOutput;

const READERS: Partial<Record<StageKind, Reader>> = {
  encode: ({vector}) => ({kind: 'encode', vector: vector as number[]}),
  retrieve: ({documents}) => ({
    kind: 'retrieve',
    documents: documents as string[],
  }),
  rerank: ({documents}) => ({kind: 'rerank', documents: documents as string[]}),
};

/**
 * A member of a pool of encoders, retrievers or rerankers.
 *
 * @param url base address of the member
 * @example
 *     createPoolBackend('http://127.0.0.1:9001');
 */
export function createPoolBackend(url: string): Backend {
  const dispatcher = new Agent();

  async function execute(
    kind: StageKind,
    body: unknown,
    signal: AbortSignal,
  ): Promise<StageOutput> {
    const read = READERS[kind];
    if (read === undefined) throw new Error(`a pool has no stage '${kind}'`);
    const target = `${url}/v1/${kind}`;
    return read(await postJson({url: target, body, dispatcher, signal}));
  }

  return {
    run: ({attempt, signal}) =>
      ResultAsync.fromPromise(
        execute(
          attempt.kind,
          {...attempt.input, requestId: attempt.requestId},
          signal,
        ),
        (error) => toBackendError(error, url),
      ),
  };
}
