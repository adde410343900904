import test from 'ava';
import fc from 'fast-check';
import {ok} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import {catchUp} from '../catchUp.ts';
import {changeConfiguration} from '../changeConfiguration.ts';
import {compactConfiguration} from '../compactConfiguration.ts';
import {configurationKeys} from '../configurationKeys.ts';
import {createConfigurationReplica} from '../createConfigurationReplica.ts';
import {loadConfiguration} from '../loadConfiguration.ts';
import {repairStore} from '../repairStore.ts';
import {createMemoryStore} from './createMemoryStore.ts';

type Keeper = ReturnType<typeof createConfigurationReplica>;
type Items = ReturnType<ReturnType<typeof createMemoryStore>['state']['list']>;

const PROCESSES = 4;
const RUNS = 150;
const MINIMUM_STEPS = 20;
const MAXIMUM_STEPS = 100;

interface Process {
  keeper: Keeper;
  /** Sequences that came in force in this life of the process. */
  seen: number[];
}

interface World {
  readonly store: ReturnType<typeof createMemoryStore>;
  readonly processes: Process[];
  /** Frames under way, of which any may come next, late, or never. */
  readonly frames: {from: number; to: number; frame: Frame}[];
  readonly accepted: {sequence: number; name: string; pool: string}[];
  /** Whole copies that peers had at some time. */
  readonly copies: ReturnType<Keeper['getSnapshot']>[];
  now: number;
  operations: number;
}

function createProcess(world: World, index: number): Process {
  const seen: number[] = [];
  const keeper = createConfigurationReplica({
    onConfigurationChange: ({sequence}) => seen.push(sequence),
    now: () => world.now,
    relay: 'announce',
  });
  for (let peer = 0; peer < PROCESSES; peer += 1) {
    if (peer === index) continue;
    keeper.addPeer(`process-${peer}`, (frame) => {
      world.frames.push({from: index, to: peer, frame});
      return true;
    });
  }
  return {keeper, seen};
}

function createWorld(): World {
  const world: World = {
    store: createMemoryStore(),
    processes: [],
    frames: [],
    accepted: [],
    copies: [],
    now: 0,
    operations: 0,
  };
  for (let index = 0; index < PROCESSES; index += 1) {
    world.processes.push(createProcess(world, index));
  }
  return world;
}

function deliver(world: World, index: number): void {
  const {from, to, frame} = world.frames[index]!;
  world.processes[to]!.keeper.handleFrame(`process-${from}`, frame);
}

async function apply(world: World, name: string, pool: string) {
  const outcome = await changeConfiguration({
    store: world.store,
    createOperation: () => `operation-${(world.operations += 1)}`,
    plan: () => {
      const document = {kind: 'endpoint', schemaVersion: 1, name, pool};
      return ok([{kind: 'endpoint', name, document}]);
    },
    base: null,
    activeSequence: 0,
  });
  if (outcome.tag === 'accepted') {
    world.accepted.push({sequence: outcome.sequence, name, pool});
  }
}

type Step = readonly [action: string, first: number, second: number];

const ACTIONS: Record<
  string,
  (world: World, first: number, second: number) => Promise<unknown> | void
> = {
  apply: (world, first, second) =>
    apply(world, `desk-${first % 3}`, `pool-${second}`),
  applyLosingTheAnswer(world, first, second) {
    world.store.loseWriteAnswers = 1;
    return apply(world, `desk-${first % 3}`, `pool-${second}`);
  },
  applyTwiceAtOnce: (world, first, second) =>
    Promise.all([
      apply(world, `desk-${first % 3}`, `pool-${second}`),
      apply(world, `desk-${second % 3}`, `pool-${first}`),
    ]),
  async compact(world) {
    const loaded = await loadConfiguration(world.store);
    if (loaded.isErr()) return;
    const snapshot = loaded.value.log.getSnapshot();
    if (snapshot.sequence === 0) return;
    const operation = `compaction-${(world.operations += 1)}`;
    await compactConfiguration(world.store, snapshot, operation);
  },
  /** A watch event: any one entry, late or early. */
  watchEvent(world, first, second) {
    const items: Items = world.store.state.list(configurationKeys.logPrefix, 0);
    if (items.length === 0) return;
    const {value} = items[second % items.length]!;
    world.processes[first % PROCESSES]!.keeper.receiveEntries([value as never]);
  },
  catchUp: (world, first) =>
    catchUp(world.store, world.processes[first % PROCESSES]!.keeper),
  deliver(world, first) {
    if (world.frames.length > 0) deliver(world, first % world.frames.length);
  },
  /** Delivered and still under way: it comes again, later. */
  loseFrame(world, first) {
    if (world.frames.length > 0) {
      world.frames.splice(first % world.frames.length, 1);
    }
  },
  heartbeat(world, first, second) {
    const from = first % PROCESSES;
    const to = second % PROCESSES;
    if (from === to) return;
    world.frames.push({from, to, frame: createHeartbeat(world, from)});
  },
  /** Keeps a copy of what is in force, to be offered at any later time. */
  copy(world, first) {
    const {keeper} = world.processes[first % PROCESSES]!;
    if (keeper.sequence > 0) world.copies.push(keeper.getSnapshot());
  },
  offerOldCopy(world, first, second) {
    if (world.copies.length === 0) return;
    const {keeper} = world.processes[first % PROCESSES]!;
    const frame = world.copies[second % world.copies.length]!;
    keeper.handleFrame(`process-${(first + 1) % PROCESSES}`, frame);
  },
  /** A peer's whole copy, as it is now, to be delivered at any time. */
  snapshot(world, first, second) {
    const from = first % PROCESSES;
    const to = second % PROCESSES;
    if (from === to) return;
    const frame = world.processes[from]!.keeper.getSnapshot();
    world.frames.push({from, to, frame});
  },
  restart(world, first) {
    const index = first % PROCESSES;
    world.processes[index] = createProcess(world, index);
  },
  outage(world) {
    world.store.isDown = !world.store.isDown;
  },
  passTime(world, first) {
    world.now += first;
  },
};

function createHeartbeat(world: World, from: number): Frame {
  return {
    tag: 'heartbeat',
    leaving: false,
    load: null,
    configurationSequence: world.processes[from]!.keeper.sequence,
  };
}

function assertForward(world: World): void {
  for (const {seen, keeper} of world.processes) {
    for (const [index, sequence] of seen.entries()) {
      if (index > 0 && sequence <= seen[index - 1]!) {
        throw new Error(`went from ${seen[index - 1]} to ${sequence}`);
      }
    }
    if (keeper.sequence !== (seen.at(-1) ?? 0)) throw new Error('out of step');
  }
}

function endFaults(world: World): void {
  world.store.isDown = false;
  world.store.loseWriteAnswers = 0;
}

/** Rounds of probes after which nobody is on another way. */
const PROBE_ROUNDS = 2;
/** Rounds of heartbeats after the faults end, within which all agree. */
const ROUNDS = 4;

async function heal(world: World): Promise<void> {
  endFaults(world);
  world.frames.length = 0;
  // One process alone still reaches the store: the others have their peers.
  await catchUp(world.store, world.processes[0]!.keeper);
  for (let round = 0; round < ROUNDS; round += 1) {
    world.now += 1000;
    for (let from = 0; from < PROCESSES; from += 1) {
      for (let to = 0; to < PROCESSES; to += 1) {
        if (from === to) continue;
        world.frames.push({from, to, frame: createHeartbeat(world, from)});
      }
    }
    while (world.frames.length > 0) {
      deliver(world, 0);
      world.frames.shift();
    }
  }
}

async function assertAgreed(world: World): Promise<void> {
  const loaded = (await loadConfiguration(world.store))._unsafeUnwrap();
  const expected = loaded.log.getView().endpoints;
  for (const {keeper} of world.processes) {
    if (keeper.hasGap) throw new Error('still waits behind a gap');
    const {documents, sequence} = keeper.getSnapshot();
    if (sequence !== loaded.log.sequence) {
      throw new Error(`at ${sequence}, not ${loaded.log.sequence}`);
    }
    for (const {name, document} of documents) {
      const wanted = expected.get(name)?.pool;
      if (document['pool'] !== wanted) throw new Error(`${name} differs`);
    }
    if (documents.length !== expected.size) throw new Error('records differ');
  }
}

/** The last accepted change of each record is what the store holds. */
async function assertAcceptedIsKept(world: World): Promise<void> {
  const loaded = (await loadConfiguration(world.store))._unsafeUnwrap();
  for (const {name, sequence, pool} of world.accepted) {
    const stored = loaded.log
      .getSnapshot()
      .documents.find((document) => document.name === name);
    if (stored === undefined || stored.sequence < sequence) {
      throw new Error(`${name} of ${sequence} is gone`);
    }
    const isSame = stored.document['pool'] === pool;
    if (stored.sequence === sequence && !isSame) {
      throw new Error(`${sequence} was accepted twice`);
    }
  }
}

/** What makes progress comes more often than each of the faults. */
const COMMON = ['apply', 'catchUp', 'copy', 'offerOldCopy', 'watchEvent'];
const step = fc.tuple(
  fc.constantFrom(...Object.keys(ACTIONS), ...COMMON, ...COMMON),
  fc.nat({max: 500}),
  fc.nat({max: 500}),
);

async function run(steps: readonly Step[]): Promise<void> {
  const world = createWorld();
  for (const [action, first, second] of steps) {
    await ACTIONS[action]!(world, first, second);
    assertForward(world);
  }
  await heal(world);
  assertForward(world);
  await assertAgreed(world);
  await assertAcceptedIsKept(world);
}

test('nothing goes back, and all agree once the faults end', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {
        minLength: MINIMUM_STEPS,
        maxLength: MAXIMUM_STEPS,
      }),
      run,
    ),
    {seed: 11, numRuns: RUNS},
  );
  t.pass();
});

/** Steps as before, in a world whose store is also restored at times. */
const RESTORING_ACTIONS: typeof ACTIONS = {
  ...ACTIONS,
  backUp: (world) => world.store.state.backUp(),
  restore: (world) => world.store.state.restore(),
  writeBack(world, first, second) {
    const {keeper} = world.processes[first % PROCESSES]!;
    if (keeper.sequence === 0) return;
    return repairStore(world.store, keeper, `back-${first}-${second}`);
  },
};

const restoringStep = fc.tuple(
  fc.constantFrom(...Object.keys(RESTORING_ACTIONS), ...COMMON, ...COMMON),
  fc.nat({max: 500}),
  fc.nat({max: 500}),
);

async function runRestoring(steps: readonly Step[]): Promise<void> {
  const world = createWorld();
  for (const [action, first, second] of steps) {
    await RESTORING_ACTIONS[action]!(world, first, second);
    assertForward(world);
  }
  endFaults(world);
  for (const [index, {keeper}] of world.processes.entries()) {
    if (keeper.sequence === 0) continue;
    await repairStore(world.store, keeper, `last-${index}`);
  }
  await apply(world, 'desk-1', 'last');
  for (const {keeper} of world.processes) await catchUp(world.store, keeper);
  await heal(world);
  // Probes go on: who went another way finds out.
  for (let round = 0; round < PROBE_ROUNDS; round += 1) {
    for (const [index, {keeper}] of world.processes.entries()) {
      await repairStore(world.store, keeper, `probe-${round}-${index}`);
    }
    await heal(world);
  }
  assertForward(world);
  await assertAgreed(world);
}

test('a store that is restored leaves nobody on another way', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(restoringStep, {
        minLength: MINIMUM_STEPS,
        maxLength: MAXIMUM_STEPS,
      }),
      runRestoring,
    ),
    {seed: 13, numRuns: RUNS},
  );
  t.pass();
});

test('what is in force wins over a store that was restored', async (t) => {
  const world = createWorld();
  const [first, second] = world.processes as [Process, Process];
  await apply(world, 'desk-1', 'desks');
  world.store.state.backUp();
  await apply(world, 'desk-1', 'counters');
  await catchUp(world.store, first.keeper);
  await catchUp(world.store, second.keeper);
  world.store.state.restore();
  await Promise.all([
    repairStore(world.store, first.keeper, 'back-1'),
    repairStore(world.store, second.keeper, 'back-2'),
  ]);
  const loaded = (await loadConfiguration(world.store))._unsafeUnwrap();
  t.is(loaded.log.sequence, 2);
  t.is(loaded.log.getView().endpoints.get('desk-1')?.pool, 'counters');
  await apply(world, 'desk-1', 'lending');
  await catchUp(world.store, first.keeper);
  t.is(first.keeper.sequence, 3);
  assertForward(world);
});

test('a change made on a restored store does not divide the fleet', async (t) => {
  const world = createWorld();
  const [first, late] = world.processes as [Process, Process];
  await apply(world, 'desk-1', 'desks');
  world.store.state.backUp();
  await apply(world, 'desk-1', 'counters');
  await catchUp(world.store, first.keeper);
  world.store.state.restore();
  // Two changes at sequences that are in force already, or next to them.
  await apply(world, 'desk-2', 'desks');
  await apply(world, 'desk-3', 'desks');
  await catchUp(world.store, late.keeper);
  await catchUp(world.store, first.keeper);
  t.is(first.keeper.sequence, 2, 'an entry of the other way is not taken');
  await repairStore(world.store, first.keeper, 'back');
  await repairStore(world.store, late.keeper, 'none');
  await apply(world, 'desk-4', 'desks');
  await catchUp(world.store, first.keeper);
  await catchUp(world.store, late.keeper);
  t.deepEqual(first.keeper.getSnapshot(), late.keeper.getSnapshot());
  t.is(first.keeper.sequence, 5);
  assertForward(world);
});

test('a process too far behind for the ring takes the snapshot', async (t) => {
  const world = createWorld();
  await apply(world, 'desk-0', 'first');
  const {keeper} = world.processes[0]!;
  await catchUp(world.store, keeper);
  for (let round = 0; round < configurationKeys.slots + 5; round += 1) {
    await apply(world, 'desk-0', `pool-${round}`);
  }
  await catchUp(world.store, keeper);
  t.is(keeper.sequence, configurationKeys.slots + 6);
  assertForward(world);
});

test("a peer's old copy loses", async (t) => {
  const world = createWorld();
  const {keeper} = world.processes[0]!;
  await apply(world, 'desk-1', 'desks');
  await catchUp(world.store, keeper);
  const old = keeper.getSnapshot();
  await apply(world, 'desk-1', 'counters');
  await catchUp(world.store, keeper);
  keeper.handleFrame('process-1', old);
  t.is(keeper.sequence, 2);
  t.deepEqual(keeper.getSnapshot().documents[0]?.document['pool'], 'counters');
  assertForward(world);
});
