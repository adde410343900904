import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';

interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

/** What may be made to go wrong with the store. */
interface StoreFaults {
  /** Every call is refused. */
  unavailable: boolean;
  latencyMilliseconds: number;
  /** The next so many writes take effect and their answers are lost. */
  loseWriteAnswers: number;
  /** The next so many changes are not told to watchers. */
  dropWatchEvents: number;
}

interface StoreStandIn {
  readonly application: Hono;
  readonly faults: StoreFaults;
  /** Calls so far, by kind. */
  readonly calls: Record<'get' | 'list' | 'write' | 'watch', number>;
}

/**
 * A small stand-in of the platform's key-value service, in memory: reads,
 * compare-and-swap and watches over HTTP, with faults on demand.
 *
 * @example
 *     const {application, faults} = createStoreStandIn();
 *     faults.loseWriteAnswers = 1;
 */
export function createStoreStandIn(): StoreStandIn {
  const items = new Map<string, Item>();
  const faults: StoreFaults = {
    unavailable: false,
    latencyMilliseconds: 0,
    loseWriteAnswers: 0,
    dropWatchEvents: 0,
  };
  const calls = {get: 0, list: 0, write: 0, watch: 0};
  const waiters = new Set<() => void>();
  let revision = 0;

  function getChanged(prefix: string, after: number): Item[] {
    return [...items.values()]
      .filter((item) => item.key.startsWith(prefix) && item.revision > after)
      .sort((left, right) => left.revision - right.revision);
  }

  function tellWatchers(): void {
    if (faults.dropWatchEvents > 0) {
      faults.dropWatchEvents -= 1;
      return;
    }
    for (const wake of waiters) wake();
  }

  function waitForChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        waiters.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      waiters.add(wake);
    });
  }

  const application = new Hono();
  application.put('/v1/faults', async (context) => {
    Object.assign(faults, await context.req.json());
    if (faults.unavailable) for (const wake of waiters) wake();
    return context.json(faults);
  });
  application.get('/v1/calls', (context) => context.json(calls));

  application.use('/v1/keys/*', async (_context, next) => {
    if (faults.latencyMilliseconds > 0) await sleep(faults.latencyMilliseconds);
    await next();
  });
  application.use('/v1/*', async (context, next) => {
    if (faults.unavailable) return context.json({error: 'unavailable'}, 503);
    await next();
    return undefined;
  });

  application.get('/v1/keys/:key', (context) => {
    calls.get += 1;
    const item = items.get(context.req.param('key'));
    return item === undefined
      ? context.json({error: 'absent'}, 404)
      : context.json(item);
  });
  application.get('/v1/keys', (context) => {
    calls.list += 1;
    const prefix = context.req.query('prefix') ?? '';
    return context.json({items: getChanged(prefix, 0), revision});
  });
  application.put('/v1/keys/:key', async (context) => {
    calls.write += 1;
    const key = context.req.param('key');
    const expected = Number(context.req.query('expected') ?? '0');
    const {value} = await context.req.json<{value: unknown}>();
    const current = items.get(key);
    if ((current?.revision ?? 0) !== expected) {
      return context.json({error: 'conflict', current: current ?? null}, 409);
    }
    revision += 1;
    items.set(key, {key, value, revision});
    tellWatchers();
    if (faults.loseWriteAnswers > 0) {
      faults.loseWriteAnswers -= 1;
      return context.json({error: 'the answer is lost'}, 500);
    }
    return context.json({revision});
  });
  application.get('/v1/watch', async (context) => {
    calls.watch += 1;
    const prefix = context.req.query('prefix') ?? '';
    const after = Number(context.req.query('after') ?? '0');
    const end = Date.now() + Number(context.req.query('wait') ?? '0');
    let changed = getChanged(prefix, after);
    while (changed.length === 0 && Date.now() < end && !faults.unavailable) {
      await waitForChange(end - Date.now());
      changed = getChanged(prefix, after);
    }
    if (faults.unavailable) return context.json({error: 'unavailable'}, 503);
    return context.json({items: changed, revision});
  });
  return {application, faults, calls};
}
