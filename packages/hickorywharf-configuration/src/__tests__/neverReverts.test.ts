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

type Replica = ReturnType<typeof createConfigurationReplica>;
type Items = ReturnType<ReturnType<typeof createMemoryStore>['state']['list']>;

const PROCESSES = 4;
const RUNS = 150;
const MINIMUM_STEPS = 20;
const MAXIMUM_STEPS = 100;

interface Process {
  replica: Replica;
  /** Sequences that became active since the process started. */
  seen: number[];
}

interface ProcessGroup {
  readonly store: ReturnType<typeof createMemoryStore>;
  readonly processes: Process[];
  /** Frames in flight; each may be delivered in any order, twice or never. */
  readonly frames: {from: number; to: number; frame: Frame}[];
  readonly accepted: {sequence: number; name: string; pool: string}[];
  /** Snapshots that processes had at some time. */
  readonly snapshots: ReturnType<Replica['getSnapshot']>[];
  now: number;
  operations: number;
}

function createProcess(group: ProcessGroup, index: number): Process {
  const seen: number[] = [];
  const replica = createConfigurationReplica({
    onConfigurationChange: ({sequence}) => seen.push(sequence),
    now: () => group.now,
    relay: 'announce',
  });
  for (let peer = 0; peer < PROCESSES; peer += 1) {
    if (peer === index) continue;
    replica.addPeer(`process-${peer}`, (frame) => {
      group.frames.push({from: index, to: peer, frame});
      return true;
    });
  }
  return {replica, seen};
}

function createProcessGroup(): ProcessGroup {
  const group: ProcessGroup = {
    store: createMemoryStore(),
    processes: [],
    frames: [],
    accepted: [],
    snapshots: [],
    now: 0,
    operations: 0,
  };
  for (let index = 0; index < PROCESSES; index += 1) {
    group.processes.push(createProcess(group, index));
  }
  return group;
}

function deliver(group: ProcessGroup, index: number): void {
  const {from, to, frame} = group.frames[index]!;
  group.processes[to]!.replica.handleFrame(`process-${from}`, frame);
}

async function apply(group: ProcessGroup, name: string, pool: string) {
  const outcome = await changeConfiguration({
    store: group.store,
    createOperation: () => `operation-${(group.operations += 1)}`,
    plan: () => {
      const document = {kind: 'endpoint', schemaVersion: 1, name, pool};
      return ok([{kind: 'endpoint', name, document}]);
    },
    base: null,
    activeSequence: 0,
  });
  if (outcome.tag === 'accepted') {
    group.accepted.push({sequence: outcome.sequence, name, pool});
  }
}

type Step = readonly [action: string, first: number, second: number];

const ACTIONS: Record<
  string,
  (
    group: ProcessGroup,
    first: number,
    second: number,
  ) => Promise<unknown> | void
> = {
  apply: (group, first, second) =>
    apply(group, `desk-${first % 3}`, `pool-${second}`),
  applyLosingTheResponse(group, first, second) {
    group.store.loseWriteAnswers = 1;
    return apply(group, `desk-${first % 3}`, `pool-${second}`);
  },
  applyConcurrently: (group, first, second) =>
    Promise.all([
      apply(group, `desk-${first % 3}`, `pool-${second}`),
      apply(group, `desk-${second % 3}`, `pool-${first}`),
    ]),
  async compact(group) {
    const loaded = await loadConfiguration(group.store);
    if (loaded.isErr()) return;
    const snapshot = loaded.value.log.getSnapshot();
    if (snapshot.sequence === 0) return;
    const operation = `compaction-${(group.operations += 1)}`;
    await compactConfiguration(group.store, snapshot, operation);
  },
  /** Delivers a watch event: any one entry, in any order. */
  watchEvent(group, first, second) {
    const items: Items = group.store.state.list(configurationKeys.logPrefix, 0);
    if (items.length === 0) return;
    const {value} = items[second % items.length]!;
    group.processes[first % PROCESSES]!.replica.receiveEntries([
      value as never,
    ]);
  },
  catchUp: (group, first) =>
    catchUp(group.store, group.processes[first % PROCESSES]!.replica),
  /** A delivered frame stays in flight and may be delivered again. */
  deliver(group, first) {
    if (group.frames.length > 0) deliver(group, first % group.frames.length);
  },
  loseFrame(group, first) {
    if (group.frames.length > 0) {
      group.frames.splice(first % group.frames.length, 1);
    }
  },
  heartbeat(group, first, second) {
    const from = first % PROCESSES;
    const to = second % PROCESSES;
    if (from === to) return;
    group.frames.push({from, to, frame: createHeartbeat(group, from)});
  },
  /** Keeps a snapshot, to be delivered at any later time. */
  keepSnapshot(group, first) {
    const {replica} = group.processes[first % PROCESSES]!;
    if (replica.sequence > 0) group.snapshots.push(replica.getSnapshot());
  },
  deliverOldSnapshot(group, first, second) {
    if (group.snapshots.length === 0) return;
    const {replica} = group.processes[first % PROCESSES]!;
    const frame = group.snapshots[second % group.snapshots.length]!;
    replica.handleFrame(`process-${(first + 1) % PROCESSES}`, frame);
  },
  /** Sends a peer's current snapshot, to be delivered at any time. */
  sendSnapshot(group, first, second) {
    const from = first % PROCESSES;
    const to = second % PROCESSES;
    if (from === to) return;
    const frame = group.processes[from]!.replica.getSnapshot();
    group.frames.push({from, to, frame});
  },
  restart(group, first) {
    const index = first % PROCESSES;
    group.processes[index] = createProcess(group, index);
  },
  outage(group) {
    group.store.isDown = !group.store.isDown;
  },
  passTime(group, first) {
    group.now += first;
  },
};

function createHeartbeat(group: ProcessGroup, from: number): Frame {
  return {
    tag: 'heartbeat',
    leaving: false,
    load: null,
    configurationSequence: group.processes[from]!.replica.sequence,
  };
}

function assertNoRevert(group: ProcessGroup): void {
  for (const {seen, replica} of group.processes) {
    for (const [index, sequence] of seen.entries()) {
      if (index > 0 && sequence <= seen[index - 1]!) {
        throw new Error(`went from ${seen[index - 1]} to ${sequence}`);
      }
    }
    if (replica.sequence !== (seen.at(-1) ?? 0)) throw new Error('unreported');
  }
}

function endFaults(group: ProcessGroup): void {
  group.store.isDown = false;
  group.store.loseWriteAnswers = 0;
}

/** Rounds of probes within which all histories converge. */
const PROBE_ROUNDS = 2;
/** Rounds of heartbeats after the faults, within which all converge. */
const HEARTBEAT_ROUNDS = 4;

async function recover(group: ProcessGroup): Promise<void> {
  endFaults(group);
  group.frames.length = 0;
  // Only one process reads the store: the others rely on their peers.
  await catchUp(group.store, group.processes[0]!.replica);
  for (let round = 0; round < HEARTBEAT_ROUNDS; round += 1) {
    group.now += 1000;
    for (let from = 0; from < PROCESSES; from += 1) {
      for (let to = 0; to < PROCESSES; to += 1) {
        if (from === to) continue;
        group.frames.push({from, to, frame: createHeartbeat(group, from)});
      }
    }
    while (group.frames.length > 0) {
      deliver(group, 0);
      group.frames.shift();
    }
  }
}

async function assertConverged(group: ProcessGroup): Promise<void> {
  const loaded = (await loadConfiguration(group.store))._unsafeUnwrap();
  const expected = loaded.log.getView().endpoints;
  for (const {replica} of group.processes) {
    if (replica.hasGap) throw new Error('entries are pending behind a gap');
    const {documents, sequence} = replica.getSnapshot();
    if (sequence !== loaded.log.sequence) {
      throw new Error(`at sequence ${sequence}, not ${loaded.log.sequence}`);
    }
    for (const {name, document} of documents) {
      const wanted = expected.get(name)?.pool;
      if (document['pool'] !== wanted) throw new Error(`${name} differs`);
    }
    if (documents.length !== expected.size) throw new Error('records differ');
  }
}

/** The last accepted change of each record is what the store holds. */
async function assertAcceptedIsKept(group: ProcessGroup): Promise<void> {
  const loaded = (await loadConfiguration(group.store))._unsafeUnwrap();
  for (const {name, sequence, pool} of group.accepted) {
    const stored = loaded.log
      .getSnapshot()
      .documents.find((document) => document.name === name);
    if (stored === undefined || stored.sequence < sequence) {
      throw new Error(`${name} of ${sequence} is lost`);
    }
    const isSame = stored.document['pool'] === pool;
    if (stored.sequence === sequence && !isSame) {
      throw new Error(`${sequence} was accepted twice`);
    }
  }
}

/** Actions that make progress are chosen more often than each fault. */
const COMMON = [
  'apply',
  'catchUp',
  'keepSnapshot',
  'deliverOldSnapshot',
  'watchEvent',
];
const step = fc.tuple(
  fc.constantFrom(...Object.keys(ACTIONS), ...COMMON, ...COMMON),
  fc.nat({max: 500}),
  fc.nat({max: 500}),
);

async function run(steps: readonly Step[]): Promise<void> {
  const group = createProcessGroup();
  for (const [action, first, second] of steps) {
    await ACTIONS[action]!(group, first, second);
    assertNoRevert(group);
  }
  await recover(group);
  assertNoRevert(group);
  await assertConverged(group);
  await assertAcceptedIsKept(group);
}

test('no replica reverts, and all converge once the faults end', async (t) => {
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

/** The actions above, with backups and restores of the store. */
const RESTORING_ACTIONS: typeof ACTIONS = {
  ...ACTIONS,
  backUp: (group) => group.store.state.backUp(),
  restore: (group) => group.store.state.restore(),
  repair(group, first, second) {
    const {replica} = group.processes[first % PROCESSES]!;
    if (replica.sequence === 0) return;
    return repairStore(group.store, replica, `back-${first}-${second}`);
  },
};

const restoringStep = fc.tuple(
  fc.constantFrom(...Object.keys(RESTORING_ACTIONS), ...COMMON, ...COMMON),
  fc.nat({max: 500}),
  fc.nat({max: 500}),
);

async function runRestoring(steps: readonly Step[]): Promise<void> {
  const group = createProcessGroup();
  for (const [action, first, second] of steps) {
    await RESTORING_ACTIONS[action]!(group, first, second);
    assertNoRevert(group);
  }
  endFaults(group);
  for (const [index, {replica}] of group.processes.entries()) {
    if (replica.sequence === 0) continue;
    await repairStore(group.store, replica, `last-${index}`);
  }
  await apply(group, 'desk-1', 'last');
  for (const {replica} of group.processes) await catchUp(group.store, replica);
  await recover(group);
  // Further probes detect and repair diverged histories.
  for (let round = 0; round < PROBE_ROUNDS; round += 1) {
    for (const [index, {replica}] of group.processes.entries()) {
      await repairStore(group.store, replica, `probe-${round}-${index}`);
    }
    await recover(group);
  }
  assertNoRevert(group);
  await assertConverged(group);
}

test('all replicas converge after the store is restored', async (t) => {
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

test('the active configuration takes precedence over a restored store', async (t) => {
  const group = createProcessGroup();
  const [first, second] = group.processes as [Process, Process];
  await apply(group, 'desk-1', 'desks');
  group.store.state.backUp();
  await apply(group, 'desk-1', 'counters');
  await catchUp(group.store, first.replica);
  await catchUp(group.store, second.replica);
  group.store.state.restore();
  await Promise.all([
    repairStore(group.store, first.replica, 'back-1'),
    repairStore(group.store, second.replica, 'back-2'),
  ]);
  const loaded = (await loadConfiguration(group.store))._unsafeUnwrap();
  t.is(loaded.log.sequence, 2);
  t.is(loaded.log.getView().endpoints.get('desk-1')?.pool, 'counters');
  await apply(group, 'desk-1', 'lending');
  await catchUp(group.store, first.replica);
  t.is(first.replica.sequence, 3);
  assertNoRevert(group);
});

test('replicas do not diverge after a change of a restored store', async (t) => {
  const group = createProcessGroup();
  const [first, late] = group.processes as [Process, Process];
  await apply(group, 'desk-1', 'desks');
  group.store.state.backUp();
  await apply(group, 'desk-1', 'counters');
  await catchUp(group.store, first.replica);
  group.store.state.restore();
  // Two changes, at a sequence that is already active and at the next one.
  await apply(group, 'desk-2', 'desks');
  await apply(group, 'desk-3', 'desks');
  await catchUp(group.store, late.replica);
  await catchUp(group.store, first.replica);
  t.is(
    first.replica.sequence,
    2,
    'an entry of the other history is not applied',
  );
  await repairStore(group.store, first.replica, 'back');
  await repairStore(group.store, late.replica, 'none');
  await apply(group, 'desk-4', 'desks');
  await catchUp(group.store, first.replica);
  await catchUp(group.store, late.replica);
  t.deepEqual(first.replica.getSnapshot(), late.replica.getSnapshot());
  t.is(first.replica.sequence, 5);
  assertNoRevert(group);
});

test('a replica that is too far behind the log applies the snapshot', async (t) => {
  const group = createProcessGroup();
  await apply(group, 'desk-0', 'first');
  const {replica} = group.processes[0]!;
  await catchUp(group.store, replica);
  for (let round = 0; round < configurationKeys.slots + 5; round += 1) {
    await apply(group, 'desk-0', `pool-${round}`);
  }
  await catchUp(group.store, replica);
  t.is(replica.sequence, configurationKeys.slots + 6);
  assertNoRevert(group);
});

test("a peer's older snapshot is ignored", async (t) => {
  const group = createProcessGroup();
  const {replica} = group.processes[0]!;
  await apply(group, 'desk-1', 'desks');
  await catchUp(group.store, replica);
  const old = replica.getSnapshot();
  await apply(group, 'desk-1', 'counters');
  await catchUp(group.store, replica);
  replica.handleFrame('process-1', old);
  t.is(replica.sequence, 2);
  t.deepEqual(replica.getSnapshot().documents[0]?.document['pool'], 'counters');
  assertNoRevert(group);
});
