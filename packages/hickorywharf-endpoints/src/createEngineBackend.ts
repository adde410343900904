import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import * as z from 'zod';
import type {Backend} from './backend.ts';
import {BACKEND_LIMITS} from './backendLimits.ts';
import {createBackendAgent} from './createBackendAgent.ts';
import {parseResponse} from './parseResponse.ts';
import {readLines} from './readLines.ts';
import {toBackendError} from './toBackendError.ts';

type RunOptions = Parameters<Backend['run']>[0];

const DATA_PREFIX = 'data: ';
const STATUS_LINE = /HTTP\/1\.[01] [1-5]\d\d/;

/** One event of the engine's response stream. */
const eventSchema = z.object({
  tokens: z.array(z.string()).optional(),
  finished: z
    .object({count: z.int().min(0), cachedTokens: z.number()})
    .optional(),
});

/**
 * Creates the adapter of a model engine that streams completions as
 * server-sent events. Closing the stream cancels the generation at the engine.
 * The result has no tokens, only their number: they go to `onTokens`.
 *
 * @param url base address of the engine
 * @example
 *     createEngineBackend('http://127.0.0.1:9003');
 */
export function createEngineBackend(url: string): Backend {
  const dispatcher = createBackendAgent({bodyTimeout: 0});

  async function execute(options: RunOptions): Promise<StageOutput> {
    const {attempt, remainingMilliseconds, onTokens, signal} = options;
    const {traceparent} = attempt;
    const {text, documents, continuation, maximumTokens} = attempt.input;
    const response = await request(`${url}/v1/completions`, {
      method: 'POST',
      dispatcher,
      signal,
      headers: {
        'content-type': 'application/json',
        ...(traceparent === null ? {} : {traceparent}),
      },
      body: JSON.stringify({
        requestId: attempt.attemptId,
        pipelineRequestId: attempt.requestId,
        prompt: {text, documents},
        continuation,
        maximumTokens,
        deadlineMilliseconds: remainingMilliseconds,
      }),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(
        `the engine responded with status ${response.statusCode}`,
      );
    }
    const lines = readLines(response.body, {
      maximumLineBytes: BACKEND_LIMITS.maximumEventBytes,
      maximumBytes: BACKEND_LIMITS.maximumStreamBytes,
    });
    for await (const line of lines) {
      if (!line.startsWith(DATA_PREFIX)) {
        // Without a length, what follows on the connection is read as well.
        if (!STATUS_LINE.test(line)) continue;
        throw new Error("another response within the engine's stream");
      }
      const event = parseResponse(
        eventSchema,
        JSON.parse(line.slice(DATA_PREFIX.length)),
      );
      if (event.tokens !== undefined) onTokens(event.tokens);
      if (event.finished !== undefined) {
        const {count, cachedTokens} = event.finished;
        return {kind: 'generate', tokens: [], tokenCount: count, cachedTokens};
      }
    }
    throw new Error(
      "the engine's stream ended before the generation was finished",
    );
  }

  return {
    run: (options) =>
      ResultAsync.fromPromise(execute(options), (error) =>
        toBackendError(error, url),
      ),
  };
}
