import {Hono} from 'hono';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {sleep} from 'hickorywharf-utils/sleep';
import {expectedContent} from './expectedContent.ts';

interface ServiceOptions {
  readonly name: string;
  readonly workMilliseconds: number;
  readonly history: HistoryRecorder;
}

interface ActionBody {
  readonly text: string;
  readonly parameters: Record<string, unknown>;
  readonly requestId: string;
  readonly idempotencyKey: string;
}

/**
 * Creates a stand-in of a service whose actions must run at most once. It does
 * not deduplicate: it runs every action that it receives and records each run
 * in the history, so that a duplicate shows.
 *
 * @example
 *     createServiceStandIn({name: 'desk', workMilliseconds: 5, history});
 */
export function createServiceStandIn(options: ServiceOptions): Hono {
  const {name, workMilliseconds, history} = options;
  const application = new Hono();
  application.post('/v1/actions/:action', async (context) => {
    const body = await context.req.json<ActionBody>();
    const {text, parameters, requestId, idempotencyKey} = body;
    history.record({
      tag: 'actionRan',
      idempotencyKey,
      requestId,
      backend: name,
    });
    await sleep(workMilliseconds);
    const action = context.req.param('action');
    return context.json(expectedContent.call(action, text, parameters));
  });
  return application;
}
