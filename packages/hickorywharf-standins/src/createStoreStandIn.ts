import {Hono, type Context} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {createRateLimit} from './store/createRateLimit.ts';
import {createStoreState} from './store/createStoreState.ts';
import {createWatchHub} from './store/createWatchHub.ts';
import type {StoreFaults} from './store/storeFaults.ts';

type CallKind = 'get' | 'list' | 'write' | 'watch' | 'lease' | 'refused';

interface StoreStandIn {
  readonly application: Hono;
  /** Faults in effect; may be changed at any time. */
  readonly faults: StoreFaults;
  /** Calls so far, by kind. */
  readonly calls: Record<CallKind, number>;
}

/** Rates of the platform's store: several hundred writes, 2,000 reads. */
const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2000;
const MAXIMUM_VALUE_BYTES = 1024 * 1024;
const LEASE_POLL_MILLISECONDS = 50;

function createFaults(): StoreFaults {
  return {
    unavailable: false,
    latencyMilliseconds: 0,
    loseWriteAnswers: 0,
    dropWatchEvents: 0,
    delayWatchMilliseconds: 0,
    reverseWatchEvents: false,
    lapseLeases: 0,
    writesPerSecond: WRITES_PER_SECOND,
    readsPerSecond: READS_PER_SECOND,
  };
}

/**
 * Creates an in-memory stand-in of the platform's key-value store: reads,
 * compare-and-swap writes, leases and watches over HTTP, with rate limits and
 * injectable faults.
 *
 * @example
 *     const {application, faults} = createStoreStandIn();
 *     faults.loseWriteAnswers = 1;
 */
export function createStoreStandIn(): StoreStandIn {
  const now = () => performance.now();
  const state = createStoreState(now);
  const faults = createFaults();
  const hub = createWatchHub(state, faults, now);
  const calls = {get: 0, list: 0, write: 0, watch: 0, lease: 0, refused: 0};
  const writes = createRateLimit(now);
  const reads = createRateLimit(now);

  function refuse(context: Context, status: 429 | 503, error: string) {
    calls.refused += 1;
    return context.json({error}, status);
  }

  function finishWrite(context: Context, isWritten: boolean, key: string) {
    if (!isWritten) {
      const current = state.get(key) ?? null;
      return context.json({error: 'conflict', current}, 409);
    }
    const {revision} = state;
    hub.notify();
    if (faults.loseWriteAnswers > 0) {
      faults.loseWriteAnswers -= 1;
      return context.json({error: 'the response is lost'}, 500);
    }
    return context.json({revision});
  }

  const application = new Hono();
  application.put('/v1/faults', async (context) => {
    Object.assign(faults, await context.req.json());
    if (faults.unavailable) hub.wakeAll();
    return context.json(faults);
  });
  application.get('/v1/calls', (context) => context.json(calls));
  application.post('/v1/backup', (context) => {
    state.backUp();
    return context.json({revision: state.revision});
  });
  application.post('/v1/restore', (context) => {
    state.restore();
    return context.json({revision: state.revision});
  });

  application.use('/v1/*', async (context, next) => {
    if (faults.latencyMilliseconds > 0) await sleep(faults.latencyMilliseconds);
    if (faults.unavailable) return refuse(context, 503, 'unavailable');
    const isRead = context.req.method === 'GET';
    const isWithinRate = isRead
      ? reads.acquire(faults.readsPerSecond)
      : writes.acquire(faults.writesPerSecond);
    if (!isWithinRate) return refuse(context, 429, 'over the rate limit');
    state.expireLeases();
    await next();
    return undefined;
  });

  application.get('/v1/keys/:key', (context) => {
    calls.get += 1;
    const item = state.get(context.req.param('key'));
    return item === undefined
      ? context.json({error: 'absent'}, 404)
      : context.json(item);
  });
  application.get('/v1/keys', (context) => {
    calls.list += 1;
    const prefix = context.req.query('prefix') ?? '';
    const items = state.list(prefix, 0);
    return context.json({items, revision: state.revision});
  });
  application.put('/v1/keys/:key', async (context) => {
    calls.write += 1;
    const text = await context.req.text();
    if (text.length > MAXIMUM_VALUE_BYTES) {
      return context.json({error: 'the value is over a megabyte'}, 413);
    }
    const key = context.req.param('key');
    const expected = Number(context.req.query('expected') ?? '0');
    const lease = context.req.query('lease') ?? null;
    const {value} = JSON.parse(text) as {value: unknown};
    const isWritten = state.write({key, value, expected, lease});
    return finishWrite(context, isWritten, key);
  });
  application.delete('/v1/keys/:key', (context) => {
    calls.write += 1;
    const key = context.req.param('key');
    const expected = Number(context.req.query('expected') ?? '0');
    return finishWrite(context, state.write({key, expected}), key);
  });
  application.put('/v1/leases/:lease', (context) => {
    calls.lease += 1;
    const lease = context.req.param('lease');
    const milliseconds = Number(context.req.query('milliseconds') ?? '0');
    if (milliseconds > 0) {
      state.grantLease(lease, milliseconds);
      return context.json({});
    }
    if (faults.lapseLeases > 0) {
      faults.lapseLeases -= 1;
      state.revokeLease(lease);
      hub.notify();
    }
    return state.renewLease(lease)
      ? context.json({})
      : context.json({error: 'the lease has expired'}, 410);
  });
  application.get('/v1/watch', async (context) => {
    calls.watch += 1;
    const prefix = context.req.query('prefix') ?? '';
    const after = Number(context.req.query('after') ?? '0');
    const milliseconds = Number(context.req.query('wait') ?? '0');
    const changes = await hub.wait(prefix, after, milliseconds);
    if (faults.unavailable) return refuse(context, 503, 'unavailable');
    return context.json(changes);
  });

  setInterval(() => {
    const {revision} = state;
    state.expireLeases();
    if (state.revision > revision) hub.notify();
  }, LEASE_POLL_MILLISECONDS).unref();
  return {application, faults, calls};
}
