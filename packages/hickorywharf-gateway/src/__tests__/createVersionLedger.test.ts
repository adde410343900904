import test from 'ava';
import {err, ok} from 'neverthrow';
import type {ServiceVersion} from 'hickorywharf-types/gateway/serviceVersion';
import {sleep} from 'hickorywharf-utils/sleep';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createVersionLedger} from '../createVersionLedger.ts';

const LIFETIME = 35_000;

const unavailable = err({
  tag: 'unavailable',
  step: 'versions',
  peer: 'store',
  message: 'the store is down',
} as const);

const list = (...versions: readonly string[]): ServiceVersion[] =>
  versions.map((version) => ({service: 'engines', version}));

function startLedger() {
  const store = {
    time: 0,
    generation: 1,
    isDown: false,
    reads: 0,
    writes: [] as Array<readonly [readonly ServiceVersion[], number]>,
  };
  const messages: string[] = [];
  const ledger = createVersionLedger({
    source: {
      getGeneration: () => store.generation,
      async writeVersions(versions, keepMilliseconds) {
        await sleep(1);
        if (store.isDown) return unavailable;
        store.writes.push([versions, keepMilliseconds]);
        return ok(null);
      },
      async readVersions() {
        store.reads += 1;
        store.time += 10;
        return store.reads === 1 ? unavailable : ok(list('earlier'));
      },
    },
    log: {
      infoAlways: (message) => void messages.push(message),
      infoRateLimited: () => undefined,
    },
    metrics: createGatewayMetrics(),
    getLifetime: () => LIFETIME,
    getInstant: () => ({monotonic: store.time, wall: store.time}),
  });
  /** Publishes, and waits until it is written. */
  async function publish(...versions: readonly string[]): Promise<void> {
    ledger.publish(list(...versions));
    await sleep(20);
  }
  return {store, ledger, messages, publish};
}

test('versions are published when they change, and again before they lapse', async (t) => {
  const {store, ledger, publish} = startLedger();
  t.teardown(ledger.close);
  await publish('v1');
  await publish('v1');
  t.deepEqual(store.writes, [[list('v1'), 2 * LIFETIME]]);
  await publish('v1', 'v2');
  t.is(store.writes.length, 2);
  store.time += LIFETIME;
  await publish('v1', 'v2');
  t.is(store.writes.length, 3);
});

test('a version that comes during a write is written right after it', async (t) => {
  const {store, ledger, publish} = startLedger();
  t.teardown(ledger.close);
  ledger.publish(list('v1'));
  await publish('v1', 'v2');
  t.deepEqual(
    store.writes.map(([versions]) => versions),
    [list('v1'), list('v1', 'v2')],
  );
});

test('versions are published again after a restoration and after a failure', async (t) => {
  const {store, ledger, messages, publish} = startLedger();
  t.teardown(ledger.close);
  await publish('v1');
  store.generation += 1;
  await publish('v1');
  t.is(store.writes.length, 2);
  store.isDown = true;
  await publish('v2');
  await publish('v2');
  store.isDown = false;
  await publish('v2');
  t.deepEqual(store.writes.at(-1)?.[0], list('v2'));
  t.is(messages.filter((message) => message === 'versions not kept').length, 1);
});

test('what was published is as old as the read that answered', async (t) => {
  const {store, ledger, messages} = startLedger();
  t.teardown(ledger.close);
  const earlier = await ledger.earlierVersions;
  t.deepEqual(earlier?.versions, list('earlier'));
  t.is(earlier?.readAt.monotonic, 10);
  t.is(store.reads, 2);
  t.deepEqual(messages, ['not read at the start']);
});
