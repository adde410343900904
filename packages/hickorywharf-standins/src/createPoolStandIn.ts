import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {createBackendControls} from './createBackendControls.ts';
import {createLimiter} from './createLimiter.ts';
import {expectedContent} from './expectedContent.ts';

interface PoolOptions {
  /** Time that a call takes, whatever its size. */
  readonly workMilliseconds: number;
  /** Time for each thousand characters of text. */
  readonly sizeMilliseconds: number;
  /** Calls that are worked on at once; others wait in order of arrival. */
  readonly capacity: number;
}

interface PoolBody {
  readonly requestId?: string;
  readonly text: string;
  readonly vector?: number[];
  readonly documents?: string[];
}

type Work = (body: PoolBody) => Record<string, unknown>;

const WORK: Readonly<Record<string, Work>> = {
  encode: ({text}) => ({vector: expectedContent.encode(text)}),
  retrieve: ({vector = []}) => ({documents: expectedContent.retrieve(vector)}),
  rerank: ({text, documents = []}) => ({
    documents: expectedContent.rerank(text, documents),
  }),
};

const CHARACTERS = 1000;

/**
 * A stand-in of a member of a pool: it encodes, retrieves and reranks, a
 * limited number of calls at once, and takes longer over longer texts.
 *
 * @example
 *     createPoolStandIn({workMilliseconds: 10, sizeMilliseconds: 5, capacity: 4});
 */
export function createPoolStandIn(options: PoolOptions): Hono {
  const {workMilliseconds, sizeMilliseconds} = options;
  const application = new Hono();
  const controls = createBackendControls();
  const {faults, workLog, takeFailure} = controls;
  const limiter = createLimiter(options.capacity);
  application.route('/', controls.application);

  for (const [stage, work] of Object.entries(WORK)) {
    application.post(`/v1/${stage}`, async (context) => {
      const body = await context.req.json<PoolBody>();
      if (takeFailure()) return context.json({error: 'injected'}, 500);
      const size = (body.text.length / CHARACTERS) * sizeMilliseconds;
      const milliseconds = (workMilliseconds + size) * faults.slowness;
      await limiter.enter();
      await sleep(milliseconds);
      limiter.leave();
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
