import type {Frame} from 'hickorywharf-types/frame';
import {createConfigurationLog} from '../../configuration/createConfigurationLog.ts';
import {getHalfAtIssueTime} from '../../configuration/getHalfAtIssueTime.ts';
import {getPartition} from '../../homes/getPartition.ts';
import {createHomeRecordWriter} from '../../homes/createHomeRecordWriter.ts';
import {createOwnerCache} from '../../homes/createOwnerCache.ts';
import {createHomePlanOptions} from '../../homes/createHomePlanOptions.ts';
import type {HomeRecord} from '../../homes/homeRecord.ts';
import {createEndpointCore} from '../createEndpointCore.ts';
import {createMoveEntries} from './createMoveEntries.ts';

interface Step {
  readonly operation: number;
  readonly process: number;
  readonly choice: number;
  readonly amount: number;
}

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

const EPOCH = 1_700_000_000_000;
const POOL = 'desks';
const NAMES = ['desk-1', 'desk-2', 'desk-3'];
const INTERVAL_MILLISECONDS = 6000;
const MAXIMUM_SKEW_MILLISECONDS = 400;
const PARTITIONS = 2;

function createKey(issueTime: number, serial: number): string {
  const time = issueTime.toString(16).padStart(12, '0');
  const last = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${last}`;
}

/**
 * Model of several homes, some of which succeed each other on one instance, of
 * entries with different versions of the configuration, and of a store that
 * loses responses and applies writes late. Arbitrary steps drive it.
 */
export function createHomesModel() {
  const entries = createMoveEntries({
    pool: POOL,
    names: NAMES,
    movesFrom: [EPOCH + 2500, EPOCH + 6000],
  });
  const runs = new Map<string, string[]>();
  const keys: {key: string; issueTime: number}[] = [];
  const delayed: {process: Process; frame: AttemptFrame}[] = [];
  /** Writes that the store applies after they were reported as ambiguous. */
  const lateWrites: {record: HomeRecord; expected: number}[] = [];
  const oldReads: {record: HomeRecord | null; revision: number}[] = [];
  const store = {record: null as HomeRecord | null, revision: 0};
  /** Clocks of the instances; each has its own kernel. */
  const kernels = NAMES.map((_, index) => ({
    monotonicOffset: index * 1_000_000,
    wallOffset: index * 37,
  }));
  let now = 0;
  let serial = 0;
  let movedRuns = 0;
  /** Sequence of the newest configuration entry that was accepted. */
  let latest = 1;

  type Process = ReturnType<typeof startProcess>;

  function startProcess(name: string, kernel: number) {
    serial += 1;
    const incarnation = `${name}#${serial}`;
    const core = createEndpointCore({
      name,
      incarnation,
      slots: 2,
      queueOrder: 'slack',
      maximumQueueLength: 50,
      retentionMilliseconds: 1000,
      retentionBytes: 10_000,
      homePartitionCount: PARTITIONS,
      maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
    });
    return {
      name,
      incarnation,
      core,
      kernel,
      slot: `kernel-${kernel}/${name}`,
      writer: createHomeRecordWriter(),
      ownerCache: createOwnerCache(),
      log: createConfigurationLog(),
      isRunning: true,
    };
  }

  const processes = NAMES.map((name, index) => startProcess(name, index));

  const getMonotonic = (process: Process) =>
    now + kernels[process.kernel]!.monotonicOffset;
  const getWall = (kernel: number) => EPOCH + now + kernels[kernel]!.wallOffset;

  function feed(
    process: Process,
    event: Parameters<Process['core']['handle']>[0],
  ): void {
    if (!process.isRunning) return;
    const commands = process.core.handle(event, getMonotonic(process));
    for (const command of commands) {
      if (command.tag !== 'startBackend') continue;
      const key = command.attempt.idempotencyKey!;
      runs.set(key, [...(runs.get(key) ?? []), process.incarnation]);
      if ((command.attempt.assignmentSequence ?? 0) > 0) movedRuns += 1;
    }
  }

  function update(
    process: Process,
    record: HomeRecord | null,
    revision: number,
  ): void {
    process.writer.observe(record, revision);
    if (record !== null) feed(process, {tag: 'homesRead', record, revision});
  }

  function applyWrite(record: HomeRecord, expected: number): boolean {
    if (store.revision !== expected) return false;
    store.record = record;
    store.revision += 1;
    oldReads.push({...store});
    return true;
  }

  function plan(process: Process, choice: number): void {
    if (!process.isRunning) return;
    if (process.writer.needsRead) update(process, store.record, store.revision);
    const write = process.writer.plan(
      createHomePlanOptions(process.core.state, {
        pool: POOL,
        slot: process.slot,
        listed: new Set(NAMES),
        ownerCache: process.ownerCache,
        wallNow: getWall(process.kernel),
        monotonicNow: getMonotonic(process),
        intervalMilliseconds: INTERVAL_MILLISECONDS,
        maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
      }),
    );
    if (write === null) return;
    feed(process, {tag: 'homesReleasing', homes: write.releasing});
    const {record, expectedRevision: expected} = write;
    // 0: applied late, 1: not applied, 2: response lost, else no fault.
    const fault = choice % 8;
    if (fault === 0) lateWrites.push({record, expected});
    const isApplied = fault > 1 && applyWrite(record, expected);
    const isAnswered = fault > 2;
    if (!isApplied || !isAnswered) {
      process.writer.complete({tag: 'ambiguous'});
      return;
    }
    process.writer.complete({tag: 'written', revision: store.revision});
    const {revision} = store;
    feed(process, {tag: 'homesRead', record, revision});
  }

  function configure(process: Process, sequence: number): void {
    const known = entries.filter((entry) => entry.sequence <= sequence);
    if (!process.log.applyEntries(known)) return;
    feed(process, {tag: 'configurationInForce', view: process.log.getView()});
  }

  function chooseKey({choice, amount}: Step) {
    const recent = keys.slice(-6);
    const known = recent[amount % Math.max(1, recent.length)];
    if (choice % 3 !== 0 && known !== undefined) return known;
    serial += 1;
    const issueTime = getWall(amount % NAMES.length) + (choice % 400) - 250;
    const chosen = {key: createKey(issueTime, serial), issueTime};
    keys.push(chosen);
    return chosen;
  }

  /**
   * Sends an attempt from an entry with the newest configuration or an earlier
   * one, to any process.
   */
  function send(process: Process, step: Step): void {
    const {key, issueTime} = chooseKey(step);
    const log = createConfigurationLog();
    const sequence = Math.max(1, latest - (step.amount % 2));
    log.applyEntries(entries.filter((entry) => entry.sequence <= sequence));
    const view = log.getView();
    const [account] = view.accountsByKeyHash.values();
    const moves = view.halfMoves.get('account/portal') ?? [];
    serial += 1;
    const frame: AttemptFrame = {
      tag: 'attempt',
      requestId: String(serial),
      stageIndex: 0,
      attemptId: String(serial),
      kind: 'call',
      pool: POOL,
      idempotent: false,
      half: getHalfAtIssueTime(account!.half, moves, issueTime),
      route: 'lend',
      assignmentSequence: view.assignmentSequence,
      account: 'portal',
      accountWeight: 1,
      remainingMilliseconds: 5000,
      laterMilliseconds: 0,
      input: {text: ''},
      idempotencyKey: key,
      bodyDigest: '',
      traceparent: null,
    };
    const target = step.choice % 2 === 0 ? process : findHome(frame, process);
    if (step.choice % 5 === 4) delayed.push({process: target, frame});
    else feed(target, {tag: 'frameArrived', peer: 'entry', frame});
  }

  /**
   * Finds the newest home by the record, which may be down or replaced; returns
   * `fallback` if the record has none.
   */
  function findHome(frame: AttemptFrame, fallback: Process): Process {
    const part = getPartition(frame.idempotencyKey!, PARTITIONS);
    const home = store.record?.intervals.find(
      (interval) => interval.half === frame.half && interval.part === part,
    );
    return (
      processes.find(
        (candidate) => candidate.incarnation === home?.incarnation,
      ) ?? fallback
    );
  }

  function finishRuns(process: Process): void {
    for (const attempt of [...process.core.state.attempts.rows()]) {
      if (attempt.state !== 'running') continue;
      const {attemptId} = attempt;
      const output = {kind: 'call', content: {}} as never;
      feed(process, {tag: 'backendFinished', attemptId, output});
    }
  }

  /** Starts a new process in the same slot; the old one has exited. */
  function restart(process: Process): void {
    for (const other of processes) {
      if (other.slot === process.slot) other.isRunning = false;
    }
    processes.push(startProcess(process.name, process.kernel));
    configure(processes.at(-1)!, process.log.sequence);
  }

  /** Starts a new instance under the same name; the old one may still run. */
  function replace(process: Process): void {
    kernels.push({
      monotonicOffset: kernels.length * 777_777,
      wallOffset: kernels[process.kernel]!.wallOffset - 11,
    });
    processes.push(startProcess(process.name, kernels.length - 1));
    configure(processes.at(-1)!, process.log.sequence);
  }

  const operations: ((process: Process, step: Step) => void)[] = [
    send,
    send,
    send,
    send,
    (process, {choice}) => plan(process, choice),
    (process, {choice}) => plan(process, choice),
    (process) => plan(process, 7),
    (process) => plan(process, 7),
    // All running processes plan their homes from time to time.
    () => processes.forEach((process) => plan(process, 7)),
    () => processes.forEach((process) => plan(process, 7)),
    (_process, {amount}) => {
      now += amount % 300;
    },
    (_process, {amount}) => {
      now += amount;
    },
    (_process, {choice}) => {
      if (choice % 6 === 0) latest = Math.min(latest + 1, entries.length);
    },
    (process) => configure(process, latest),
    (process) => configure(process, latest),
    finishRuns,
    (process) => {
      const item = delayed.shift();
      if (item === undefined) return;
      const {frame} = item;
      feed(item.process, {tag: 'frameArrived', peer: 'entry', frame});
      feed(process, {tag: 'frameArrived', peer: 'entry', frame});
    },
    () => {
      const write = lateWrites.shift();
      if (write !== undefined) applyWrite(write.record, write.expected);
    },
    (process, {amount}) => {
      const read = oldReads[amount % Math.max(1, oldReads.length)];
      if (read !== undefined) update(process, read.record, read.revision);
    },
    (process) => update(process, store.record, store.revision),
    (process, {amount, choice}) => {
      if (choice % 5 !== 0) return;
      const kernel = kernels[process.kernel]!;
      kernel.wallOffset += (choice % 2 === 0 ? 1 : -1) * amount;
    },
    (process, {choice}) => {
      if (choice % 3 === 0) restart(process);
    },
    (process, {choice}) => {
      if (choice % 6 === 0) replace(process);
    },
    (process, {choice}) => {
      if (choice % 6 === 0) feed(process, {tag: 'leaveRequested'});
    },
    (process, {choice}) => {
      if (choice % 29 === 0) now += 601_000;
      feed(process, {tag: 'ticked'});
    },
  ];

  for (const process of processes) configure(process, 1);
  for (const process of processes) plan(process, 7);

  function applyStep(step: Step): void {
    const process = processes[step.process % processes.length]!;
    operations[step.operation % operations.length]!(process, step);
  }

  return {applyStep, runs, getMovedRuns: () => movedRuns};
}
