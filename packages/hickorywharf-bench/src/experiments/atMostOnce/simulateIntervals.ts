import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import {createHomeRecordWriter} from 'hickorywharf-decisions/homes/createHomeRecordWriter';
import {createOwnerCache} from 'hickorywharf-decisions/homes/createOwnerCache';
import {createHomePlanOptions} from 'hickorywharf-decisions/homes/createHomePlanOptions';
import {getPartition} from 'hickorywharf-decisions/homes/getPartition';
import type {HomeRecord} from 'hickorywharf-decisions/homes/homeRecord';
import type {Frame} from 'hickorywharf-types/frame';
import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import type {Fault} from './fault.ts';
import type {StrategyResult} from './strategyResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly intervalSeconds: number;
  /** Whether a process knows that its predecessor in the slot has exited. */
  readonly hasSlotIdentity: boolean;
  readonly seconds: number;
  readonly requestsPerSecond: number;
}

interface PendingRequest {
  readonly key: string;
  readonly deadlineAt: number;
}

const START_WALL_MILLISECONDS = 1_700_000_000_000;
const POOL = 'desks';
const NAMES = ['desk-1', 'desk-2', 'desk-3'];
const PARTITION_COUNT = 8;
const STEP_MILLISECONDS = 50;
const PLAN_INTERVAL_MILLISECONDS = 250;
const MAXIMUM_SKEW_MILLISECONDS = 5000;
const DEADLINE_MILLISECONDS = 2000;
/** Maximum difference of a caller's wall clock from those of the homes. */
const CLOCK_DIFFERENCE_MILLISECONDS = 50;
/** Time until the platform stops listing a home that failed or left. */
const LISTING_LAG_MILLISECONDS = 2000;

function createKey(issueTime: number, serial: number): string {
  const time = issueTime.toString(16).padStart(12, '0');
  const lastGroup = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${lastGroup}`;
}

function createView() {
  const log = createConfigurationLog();
  const changes = NAMES.map((name) => ({
    kind: 'endpoint',
    name,
    document: {kind: 'endpoint', schemaVersion: 1, name, pool: POOL},
  }));
  log.applyEntries([{sequence: 1, operation: 'first', changes}]);
  return log.getView();
}

/**
 * Simulates strategy (d), intervals of issue times owned by homes, under a
 * fault, with the decision core of the endpoint process.
 *
 * @example
 *     simulateIntervals(options).refused;
 */
export function simulateIntervals(options: SimulateOptions): StrategyResult {
  const {fault, random, requestsPerSecond} = options;
  const view = createView();
  const store = {record: null as HomeRecord | null, revision: 0};
  const executions = new Map<string, number>();
  let now = 0;
  let serial = 0;
  let homeWrites = 0;
  let pending: PendingRequest[] = [];

  function start(name: string, slot: string) {
    serial += 1;
    const core = createEndpointCore({
      name,
      incarnation: `${name}#${serial}`,
      slots: 1000,
      queueOrder: 'slack',
      maximumQueueLength: 1000,
      retentionMilliseconds: 1000,
      retentionBytes: 1_000_000,
      homePartitionCount: PARTITION_COUNT,
      maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
    });
    core.handle({tag: 'configurationInForce', view}, now);
    return {
      core,
      slot,
      recordWriter: createHomeRecordWriter(),
      ownerCache: createOwnerCache(),
      isRunning: true,
    };
  }

  const homes = new Map(NAMES.map((name) => [name, start(name, name)]));
  const isStoreAvailable = () =>
    now < (fault.storeDown?.from ?? Infinity) * 1000 ||
    now >= fault.storeDown!.until * 1000;

  function readRecord(home: ReturnType<typeof start>): void {
    const {record, revision} = store;
    home.recordWriter.observe(record, revision);
    if (record !== null) {
      home.core.handle({tag: 'homesRead', record, revision}, now);
    }
  }

  function isListed(name: string): boolean {
    const {home} = fault;
    if (home === undefined || name !== NAMES[0]) return true;
    const hasLeft = home.returns !== 'resumed';
    const from = home.from * 1000 + LISTING_LAG_MILLISECONDS;
    return !hasLeft || now < from || now >= home.until * 1000;
  }

  function writeHomes(home: ReturnType<typeof start>): void {
    if (!home.isRunning || !isStoreAvailable()) return;
    readRecord(home);
    const write = home.recordWriter.plan(
      createHomePlanOptions(home.core.state, {
        pool: POOL,
        slot: options.hasSlotIdentity ? home.slot : '',
        listed: new Set(NAMES.filter(isListed)),
        ownerCache: home.ownerCache,
        wallNow: START_WALL_MILLISECONDS + now,
        monotonicNow: now,
        intervalMilliseconds: options.intervalSeconds * 1000,
        maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
      }),
    );
    if (write === null) return;
    const {record, expectedRevision, releasing} = write;
    home.core.handle({tag: 'homesReleasing', homes: releasing}, now);
    homeWrites += 1;
    const isApplied = store.revision === expectedRevision;
    if (isApplied) {
      store.record = record;
      store.revision += 1;
    }
    const isResponseLost = random() < (fault.lostResponseShare ?? 0);
    if (!isApplied || isResponseLost) {
      home.recordWriter.complete({tag: 'ambiguous'});
      return;
    }
    home.recordWriter.complete({tag: 'written', revision: store.revision});
    readRecord(home);
  }

  function attemptAction({key, deadlineAt}: PendingRequest): boolean {
    const issueTime = getIssueTime(key)!;
    const partition = getPartition(key, PARTITION_COUNT);
    const intervals = [
      ...(store.record?.earlier ?? []),
      ...(store.record?.intervals ?? []),
    ].filter((interval) => interval.part === partition);
    const containing = intervals.find(
      ({from, until}) => issueTime >= from && issueTime < until,
    );
    const home = homes.get((containing ?? intervals.at(-1))?.home ?? '');
    if (home === undefined || !home.isRunning) return false;
    serial += 1;
    const attemptId = String(serial);
    const frame: Extract<Frame, {tag: 'attempt'}> = {
      tag: 'attempt',
      requestId: attemptId,
      stageIndex: 0,
      attemptId,
      kind: 'call',
      pool: POOL,
      idempotent: false,
      half: null,
      account: 'portal',
      accountWeight: 1,
      remainingMilliseconds: deadlineAt - now,
      laterMilliseconds: 0,
      input: {text: ''},
      idempotencyKey: key,
      bodyDigest: '',
      traceparent: null,
    };
    const commands = home.core.handle(
      {tag: 'frameArrived', peer: 'entry', frame},
      now,
    );
    const hasStarted = commands.some(({tag}) => tag === 'startBackend');
    if (!hasStarted) return false;
    executions.set(key, (executions.get(key) ?? 0) + 1);
    const output = {kind: 'call', content: {}} as never;
    home.core.handle({tag: 'backendFinished', attemptId, output}, now);
    return true;
  }

  function injectFault(): void {
    const {home} = fault;
    if (home === undefined) return;
    const name = NAMES[0]!;
    const faulty = homes.get(name)!;
    if (now === home.from * 1000) {
      if (home.returns === 'handedOver') {
        faulty.core.handle({tag: 'leaveRequested'}, now);
      } else {
        faulty.isRunning = false;
      }
    }
    if (now !== home.until * 1000) return;
    if (home.returns === 'resumed') faulty.isRunning = true;
    if (home.returns === 'sameSlot') homes.set(name, start(name, name));
    if (home.returns === 'otherInstance') {
      homes.set(name, start(name, `${name}-replaced`));
    }
  }

  let requests = 0;
  let refused = 0;
  const latencies: number[] = [];
  const warmUpMilliseconds = 10_000;
  for (; now < options.seconds * 1000; now += STEP_MILLISECONDS) {
    injectFault();
    for (const home of homes.values()) {
      if (now % PLAN_INTERVAL_MILLISECONDS === 0) writeHomes(home);
      if (home.isRunning) home.core.handle({tag: 'ticked'}, now);
    }
    const share = (requestsPerSecond * STEP_MILLISECONDS) / 1000;
    if (now >= warmUpMilliseconds && random() < share) {
      serial += 1;
      requests += 1;
      const skew = (random() * 2 - 1) * CLOCK_DIFFERENCE_MILLISECONDS;
      const key = createKey(
        START_WALL_MILLISECONDS + now + Math.round(skew),
        serial,
      );
      pending.push({key, deadlineAt: now + DEADLINE_MILLISECONDS});
    }
    pending = pending.filter((request) => {
      if (attemptAction(request)) {
        latencies.push(now - (request.deadlineAt - DEADLINE_MILLISECONDS));
        return false;
      }
      if (now < request.deadlineAt) return true;
      refused += 1;
      return false;
    });
  }
  return {
    requests,
    refused,
    duplicated: [...executions.values()].filter((count) => count > 1).length,
    addedLatenciesMilliseconds: latencies,
    requestWrites: 0,
    homeWrites,
  };
}
