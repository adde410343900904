import test from 'ava';
import {ok} from 'neverthrow';
import {changeConfiguration} from '../changeConfiguration.ts';
import {compactConfiguration} from '../compactConfiguration.ts';
import {configurationKeys} from '../configurationKeys.ts';
import {loadConfiguration} from '../loadConfiguration.ts';
import {createMemoryStore} from './createMemoryStore.ts';

type Store = ReturnType<typeof createMemoryStore>;

let operations = 0;
function createOperation(): string {
  operations += 1;
  return `operation-${operations}`;
}

function createEndpoint(name: string, pool: string) {
  const document = {kind: 'endpoint', schemaVersion: 1, name, pool};
  return {kind: 'endpoint', name, document};
}

function change(
  store: Store,
  name: string,
  pool: string,
  options: {base?: number; activeSequence?: number} = {},
) {
  return changeConfiguration({
    store,
    createOperation,
    plan: () => ok([createEndpoint(name, pool)]),
    base: options.base ?? null,
    activeSequence: options.activeSequence ?? 0,
  });
}

async function load(store: Store) {
  return (await loadConfiguration(store))._unsafeUnwrap();
}

async function getPools(store: Store): Promise<Record<string, string>> {
  const {endpoints} = (await load(store)).log.getView();
  return Object.fromEntries(
    [...endpoints.values()].map(({name, pool}) => [name, pool]),
  );
}

/** Writes another operator's change, once, between a read and a write. */
function raceOnce(store: Store, name: string, pool: string): void {
  store.beforeWrite = (key) => {
    store.beforeWrite = () => undefined;
    const entry = {
      sequence: 2,
      operation: 'racer',
      changes: [createEndpoint(name, pool)],
    };
    store.state.write({key, value: entry, expected: 0});
  };
}

test('a write whose response is lost is accepted once', async (t) => {
  const store = createMemoryStore();
  store.loseWriteAnswers = 1;
  const outcome = await change(store, 'desk-1', 'desks');
  t.like(outcome, {tag: 'accepted', sequence: 1});
  t.is((await load(store)).log.sequence, 1);
});

test('an unreachable store gives unavailable, and nothing is written', async (t) => {
  const store = createMemoryStore();
  store.isDown = true;
  t.is((await change(store, 'desk-1', 'desks')).tag, 'unavailable');
  store.isDown = false;
  t.is((await load(store)).log.sequence, 0);
});

test("a change is retried after another operator's disjoint change", async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  raceOnce(store, 'engine-1', 'engines');
  const outcome = await change(store, 'desk-2', 'desks');
  t.like(outcome, {tag: 'accepted', sequence: 3});
  t.deepEqual(await getPools(store), {
    'desk-1': 'desks',
    'engine-1': 'engines',
    'desk-2': 'desks',
  });
});

test("a change is refused after another operator's change of the same record", async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  raceOnce(store, 'desk-1', 'counters');
  const outcome = await change(store, 'desk-1', 'lending');
  t.like(outcome, {tag: 'refused', overlap: ['endpoint/desk-1']});
  t.deepEqual(await getPools(store), {'desk-1': 'counters'});
});

test('a change planned on an older sequence is refused', async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  await change(store, 'desk-1', 'counters');
  t.is((await change(store, 'desk-1', 'desks', {base: 1})).tag, 'refused');
  t.is((await change(store, 'desk-1', 'desks', {base: 2})).tag, 'accepted');
});

test('a change is refused if the store is behind the active sequence', async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  const options = {activeSequence: 4};
  t.is((await change(store, 'desk-2', 'desks', options)).tag, 'refused');
  // An empty plan is refused too, instead of giving unchanged.
  const unchanged = await changeConfiguration({
    store,
    createOperation,
    plan: () => ok([]),
    base: null,
    activeSequence: 4,
  });
  t.is(unchanged.tag, 'refused');
});

test('the log is compacted and its number of keys stays bounded', async (t) => {
  const store = createMemoryStore();
  const rounds = configurationKeys.slots + 300;
  for (let round = 1; round <= rounds; round += 1) {
    const outcome = await change(store, `desk-${round % 7}`, `pool-${round}`);
    if (outcome.tag !== 'accepted') t.fail(JSON.stringify(outcome));
  }
  const {log, snapshotSequence} = await load(store);
  t.is(log.sequence, rounds);
  t.true(rounds - snapshotSequence <= 129);
  const keys = store.state.list('configuration/', 0).length;
  t.true(keys <= configurationKeys.slots + 2, `${keys} keys`);
  t.is(Object.keys(await getPools(store)).length, 7);
});

test('an operator with an outdated view cannot write to a reused slot', async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  const {nextRevision} = await load(store);
  const rounds = configurationKeys.slots + 1;
  for (let round = 0; round < rounds; round += 1) {
    await change(store, 'desk-1', `pool-${round}`);
  }
  const written = await store.compareAndSwap(
    configurationKeys.getLogKey(2),
    {sequence: 2, operation: 'late', changes: []},
    nextRevision,
  );
  t.true(written.isErr());
});

test('a compaction interrupted at any write leaves the configuration intact', async (t) => {
  for (let interruptedWrite = 0; interruptedWrite < 6; interruptedWrite += 1) {
    const store = createMemoryStore();
    for (let round = 0; round < 5; round += 1) {
      await change(store, `desk-${round}`, 'desks');
    }
    const before = (await load(store)).log.getSnapshot();
    await compactConfiguration(store, before, createOperation());
    await change(store, 'desk-9', 'desks');
    const {log} = await load(store);
    let writes = 0;
    store.beforeWrite = () => {
      if (writes === interruptedWrite) throw new Error('interrupted');
      writes += 1;
    };
    const compacting = compactConfiguration(
      store,
      log.getSnapshot(),
      createOperation(),
    );
    await compacting.catch(() => undefined);
    store.beforeWrite = () => undefined;
    const after = (await load(store)).log;
    t.deepEqual(after.getSnapshot(), log.getSnapshot());
  }
});

test('the newer of two concurrent compactions stays in the store', async (t) => {
  const store = createMemoryStore();
  await change(store, 'desk-1', 'desks');
  const old = (await load(store)).log.getSnapshot();
  await change(store, 'desk-2', 'desks');
  const newer = (await load(store)).log.getSnapshot();
  const inner = store.beforeWrite;
  let isRacing = false;
  const raced: Promise<unknown>[] = [];
  store.beforeWrite = (key) => {
    if (isRacing || key !== configurationKeys.snapshotHead) return;
    isRacing = true;
    raced.push(compactConfiguration(store, newer, 'fresh'));
  };
  await compactConfiguration(store, old, 'old');
  await Promise.all(raced);
  store.beforeWrite = inner;
  await compactConfiguration(store, newer, 'again');
  const late = await compactConfiguration(store, old, 'late');
  t.false(late._unsafeUnwrap());
  const {log, snapshotSequence} = await load(store);
  t.is(snapshotSequence, 2);
  t.deepEqual(log.getSnapshot(), newer);
});
