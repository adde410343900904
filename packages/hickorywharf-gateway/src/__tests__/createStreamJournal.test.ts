import test from 'ava';
import {sleep} from 'hickorywharf-utils/sleep';
import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';
import {err, ok} from 'neverthrow';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createStreamJournal} from '../createStreamJournal.ts';

const unavailable = err({
  tag: 'unavailable',
  step: 'streams',
  peer: 'store',
  message: 'the store is down',
} as const);

const origin = (streamId: string): StreamOrigin => ({
  streamId,
  service: 'engines',
  version: 'v1',
});

function startJournal(instanceCount: number, now = () => performance.now()) {
  const store = {
    isDown: false,
    reads: 0,
    writes: [] as Array<readonly StreamOrigin[]>,
    writtenAt: [] as number[],
  };
  const journal = createStreamJournal({
    source: {
      async writeStreams(origins) {
        if (store.isDown) return unavailable;
        store.writes.push(origins);
        store.writtenAt.push(now());
        return ok(null);
      },
      async readStreams() {
        store.reads += 1;
        return store.reads === 1 ? unavailable : ok([origin('earlier')]);
      },
    },
    log: {infoAlways: () => undefined, infoRateLimited: () => undefined},
    metrics: createGatewayMetrics(),
    getInstanceCount: () => instanceCount,
    getLifetime: () => 35_000,
    now,
  });
  return {store, journal};
}

test('streams are written together, and all instances share the rate of writes', async (t) => {
  for (const [instanceCount, milliseconds] of [
    [3, 200],
    [40, 1000],
  ] as const) {
    const {store, journal} = startJournal(instanceCount);
    t.teardown(journal.close);
    const startedAt = performance.now();
    for (let count = 0; store.writes.length < 3; count += 1) {
      journal.add([origin(`r${count}`)]);
      await sleep(5);
    }
    const elapsed = performance.now() - startedAt;
    t.true(elapsed >= 2 * milliseconds, `${elapsed} ms for three writes`);
    const written = store.writes.flat().map(({streamId}) => streamId);
    t.is(new Set(written).size, written.length);
  }
});

// Guards against writes more often than the shared rate: the timer fired early.
test('a write waits for its time where the timer fires before it', async (t) => {
  const {store, journal} = startJournal(3, () => performance.now() * 0.98);
  t.teardown(journal.close);
  for (let count = 0; store.writes.length < 3; count += 1) {
    journal.add([origin(`r${count}`)]);
    await sleep(5);
  }
  const [first, second, third] = store.writtenAt;
  t.true(second! - first! >= 200, `${second! - first!} ms after the first`);
  t.true(third! - second! >= 200, `${third! - second!} ms after the second`);
});

test('streams that could not be written are written later, once', async (t) => {
  const {store, journal} = startJournal(3);
  t.teardown(journal.close);
  store.isDown = true;
  journal.add([origin('a')]);
  await sleep(50);
  store.isDown = false;
  journal.add([origin('b')]);
  while (store.writes.length === 0) await sleep(10);
  await sleep(300);
  t.deepEqual(store.writes, [[origin('a'), origin('b')]]);
});

test('what the store has is read again until it answers', async (t) => {
  const {store, journal} = startJournal(3);
  t.teardown(journal.close);
  t.deepEqual(await journal.earlierOrigins, [origin('earlier')]);
  t.is(store.reads, 2);
});
