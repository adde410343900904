import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {createBackendControls} from './createBackendControls.ts';
import {createLimiter} from './createLimiter.ts';
import {expectedContent} from './expectedContent.ts';

interface PoolOptions {
  /** Fixed part of the time of a call. */
  readonly workMilliseconds: number;
  /** Time added for each thousand characters of text. */
  readonly sizeMilliseconds: number;
  /** Calls processed concurrently; others wait in order of arrival. */
  readonly capacity: number;
}

interface PoolBody {
  readonly requestId?: string;
  readonly text: string;
  readonly vector?: number[];
  readonly documents?: string[];
}

type StageWork = (body: PoolBody) => Record<string, unknown>;

const STAGE_WORK: Readonly<Record<string, StageWork>> = {
  encode: ({text}) => ({vector: expectedContent.encode(text)}),
  retrieve: ({vector = []}) => ({documents: expectedContent.retrieve(vector)}),
  rerank: ({text, documents = []}) => ({
    documents: expectedContent.rerank(text, documents),
  }),
};

const CHARACTERS_PER_SIZE_UNIT = 1000;

/**
 * Creates a stand-in of the backend of a pool's endpoint. It encodes, retrieves
 * and reranks with limited concurrency, and longer texts take longer.
 *
 * @example
 *     createPoolStandIn({workMilliseconds: 10, sizeMilliseconds: 5, capacity: 4});
 */
export function createPoolStandIn(options: PoolOptions): Hono {
  const {workMilliseconds, sizeMilliseconds} = options;
  const application = new Hono();
  const controls = createBackendControls();
  const {faults, workLog, shouldFail} = controls;
  const limiter = createLimiter(options.capacity);
  application.route('/', controls.application);

  for (const [stage, work] of Object.entries(STAGE_WORK)) {
    application.post(`/v1/${stage}`, async (context) => {
      const body = await context.req.json<PoolBody>();
      if (shouldFail()) return context.json({error: 'injected'}, 500);
      const textMilliseconds =
        (body.text.length / CHARACTERS_PER_SIZE_UNIT) * sizeMilliseconds;
      const milliseconds =
        (workMilliseconds + textMilliseconds) * faults.slowness;
      await limiter.acquire();
      await sleep(milliseconds);
      limiter.release();
      const isCancelled = context.req.raw.signal.aborted;
      workLog.items.push({
        requestId: body.requestId ?? '',
        stage,
        milliseconds,
        ending: isCancelled ? 'cancelled' : 'finished',
        prefillMilliseconds: 0,
        tokens: 0,
        promptTokens: 0,
        cachedTokens: 0,
      });
      return context.json(work(body));
    });
  }
  return application;
}
