import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {expectedContent} from './expectedContent.ts';

interface EngineOptions {
  readonly prefillMilliseconds: number;
  readonly tokenMilliseconds: number;
}

interface CompletionBody {
  readonly prompt: {readonly text: string; readonly documents?: string[]};
  readonly continuation?: readonly string[];
  readonly maximumTokens?: number;
}

const DEFAULT_MAXIMUM_TOKENS = 16;

function toEvent(data: unknown): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

/**
 * A stand-in of a model engine: streams the tokens that follow from the
 * prompt, and stops when the stream is closed.
 *
 * @example
 *     createEngineStandIn({prefillMilliseconds: 20, tokenMilliseconds: 5});
 */
export function createEngineStandIn(options: EngineOptions): Hono {
  const application = new Hono();
  application.post('/v1/completions', async (context) => {
    const body = await context.req.json<CompletionBody>();
    const count = body.maximumTokens ?? DEFAULT_MAXIMUM_TOKENS;
    const encoder = new TextEncoder();
    let cancelled = false;
    const stream = new ReadableStream<Uint8Array>({
      async start(controller) {
        await sleep(options.prefillMilliseconds);
        const first = body.continuation?.length ?? 0;
        for (let position = first; position < count; position += 1) {
          if (cancelled) return;
          const token = expectedContent.token(body.prompt, position);
          controller.enqueue(encoder.encode(toEvent({tokens: [token]})));
          await sleep(options.tokenMilliseconds);
        }
        if (cancelled) return;
        const finished = {count, cachedTokens: 0};
        controller.enqueue(encoder.encode(toEvent({finished})));
        controller.close();
      },
      cancel() {
        cancelled = true;
      },
    });
    return new Response(stream, {
      headers: {'content-type': 'text/event-stream'},
    });
  });
  return application;
}
