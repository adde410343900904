import {ResultAsync} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import * as z from 'zod';
import type {Backend} from './backend.ts';
import {BACKEND_LIMITS} from './backendLimits.ts';
import {createBackendAgent} from './createBackendAgent.ts';
import {parseResponse} from './parseResponse.ts';
import {postJson} from './postJson.ts';
import {toBackendError} from './toBackendError.ts';

const objectSchema = z.record(z.string(), z.unknown());

/**
 * Creates the adapter of a service. Its calls may have side effects, so undici
 * must not retry one after its connection closed: it never retries a POST, and
 * no two calls share a connection.
 *
 * @param url base address of the service
 * @example
 *     createServiceBackend('http://127.0.0.1:9002');
 */
export function createServiceBackend(url: string): Backend {
  const dispatcher = createBackendAgent({
    maxResponseSize: BACKEND_LIMITS.maximumResponseBytes,
  });

  async function execute(
    attempt: Extract<Frame, {tag: 'attempt'}>,
    signal: AbortSignal,
  ): Promise<StageOutput> {
    const {action} = attempt.input;
    const name = encodeURIComponent(action?.name ?? 'call');
    const response = await postJson({
      url: `${url}/v1/actions/${name}`,
      body: {
        text: attempt.input.text,
        parameters: action?.parameters ?? {},
        requestId: attempt.requestId,
        idempotencyKey: attempt.idempotencyKey,
      },
      traceparent: attempt.traceparent,
      dispatcher,
      signal,
    });
    return {kind: 'call', response: parseResponse(objectSchema, response)};
  }

  return {
    run: ({attempt, signal}) =>
      ResultAsync.fromPromise(execute(attempt, signal), (error) =>
        toBackendError(error, url),
      ),
  };
}
