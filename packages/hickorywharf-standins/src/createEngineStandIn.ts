import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {createEngineBatch} from './createEngineBatch.ts';
import {createBackendControls} from './createBackendControls.ts';
import {createPrefixCache} from './createPrefixCache.ts';
import {ENGINE_MODEL} from './engineModel.ts';
import {expectedContent} from './expectedContent.ts';
import type {WorkLog} from './workLog.ts';

interface EngineOptions {
  /** Fixed time before the prefill of a prompt starts. */
  readonly prefillMilliseconds: number;
  /** Time between the tokens of a generation while the batch is full. */
  readonly tokenMilliseconds: number;
  /** The most generations in the batch. */
  readonly capacity: number;
}

interface CompletionBody {
  readonly prompt: {readonly text: string; readonly documents?: string[]};
  readonly pipelineRequestId?: string;
  readonly continuation?: readonly string[];
  readonly maximumTokens?: number;
  readonly priority?: number;
}

type Batch = ReturnType<typeof createEngineBatch>;
type Cache = ReturnType<typeof createPrefixCache>;
type Role = 'both' | 'prefill' | 'decode';

const DEFAULT_MAXIMUM_TOKENS = 16;

function toEvent(data: unknown): Uint8Array {
  return new TextEncoder().encode(`data: ${JSON.stringify(data)}\n\n`);
}

function createStream(
  body: CompletionBody,
  batch: Batch,
  cache: Cache,
  options: EngineOptions & {readonly workLog: WorkLog},
): ReadableStream<Uint8Array> {
  const {prompt, continuation = [], priority = 0} = body;
  const count = body.maximumTokens ?? DEFAULT_MAXIMUM_TOKENS;
  const length = Math.ceil(
    prompt.text.length / ENGINE_MODEL.charactersPerToken,
  );
  const cachedTokens = cache.getCachedTokens(prompt.text);
  const promptTokens = length + continuation.length;
  let position = continuation.length;
  let isCancelled = false;

  function recordWork(ending: WorkLog['items'][number]['ending']): void {
    options.workLog.items.push({
      requestId: body.pipelineRequestId ?? '',
      stage: 'generate',
      milliseconds: sequence.milliseconds,
      prefillMilliseconds: sequence.prefillMilliseconds,
      ending,
      tokens: position - continuation.length,
      promptTokens,
      cachedTokens,
    });
  }

  let controller: ReadableStreamDefaultController<Uint8Array>;
  const sequence = {
    priority,
    prefillTokens: promptTokens - cachedTokens,
    tokensLeft: count - position,
    prefillMilliseconds: 0,
    milliseconds: 0,
    onPrefilled: () => cache.store(prompt.text),
    onToken() {
      const token = expectedContent.token(prompt, position);
      position += 1;
      controller.enqueue(toEvent({tokens: [token]}));
    },
    onFinished() {
      recordWork('finished');
      controller.enqueue(toEvent({finished: {count, cachedTokens}}));
      controller.close();
    },
  };

  return new ReadableStream<Uint8Array>({
    async start(streamController) {
      controller = streamController;
      await sleep(options.prefillMilliseconds);
      if (isCancelled) return;
      if (sequence.tokensLeft > 0) batch.submit(sequence);
      else sequence.onFinished();
    },
    cancel() {
      isCancelled = true;
      batch.cancel(sequence);
      recordWork('cancelled');
    },
  });
}

/**
 * Creates a stand-in of a model engine. It batches continuously, starts
 * generations by priority, has a prefix cache of limited size, resumes after
 * the tokens of `continuation`, stops a generation when its stream is closed,
 * and exports and imports blocks of the KV cache. Reports of load and cache
 * events are delayed.
 *
 * @example
 *     createEngineStandIn({prefillMilliseconds: 5, tokenMilliseconds: 20, capacity: 4});
 */
export function createEngineStandIn(options: EngineOptions): Hono {
  const application = new Hono();
  const controls = createBackendControls();
  const {faults, workLog, shouldFail} = controls;
  const cache = createPrefixCache(() => performance.now());
  const {capacity, tokenMilliseconds} = options;
  const getSlowness = () => faults.slowness;
  const batch = createEngineBatch({capacity, tokenMilliseconds, getSlowness});
  let role: Role = 'both';
  application.route('/', controls.application);

  function getTransferMilliseconds(blocks: readonly number[]): number {
    const share = ENGINE_MODEL.transferBlockShare * blocks.length;
    return tokenMilliseconds * share * faults.slowness;
  }

  application.post('/v1/completions', async (context) => {
    const body = await context.req.json<CompletionBody>();
    if (shouldFail()) return context.json({error: 'injected'}, 500);
    if (role === 'prefill' && (body.maximumTokens ?? 0) > 1) {
      return context.json({error: 'this engine only runs prefill'}, 409);
    }
    return new Response(
      createStream(body, batch, cache, {...options, workLog}),
      {
        headers: {'content-type': 'text/event-stream'},
      },
    );
  });
  application.get('/v1/load', async (context) => {
    const load = batch.getLoad();
    await sleep(ENGINE_MODEL.reportLagMilliseconds);
    return context.json(load);
  });
  application.get('/v1/cache-events', (context) => {
    const after = Number(context.req.query('after') ?? '0');
    return context.json({events: cache.getEvents(after)});
  });
  application.post('/v1/kv/export', async (context) => {
    const {text} = await context.req.json<{text: string}>();
    const cachedBlocks = cache.getCachedTokens(text) / ENGINE_MODEL.blockTokens;
    const blocks = cache.getBlocks(text).slice(0, cachedBlocks);
    await sleep(getTransferMilliseconds(blocks));
    return context.json({blocks});
  });
  application.post('/v1/kv/import', async (context) => {
    const {blocks} = await context.req.json<{blocks: number[]}>();
    await sleep(getTransferMilliseconds(blocks));
    cache.storeBlocks(blocks);
    return context.json({});
  });
  application.put('/v1/role', async (context) => {
    ({role} = await context.req.json<{role: Role}>());
    return context.json({role});
  });
  return application;
}
