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
import type {WayResult} from './wayResult.ts';

interface SimulateOptions {
  readonly fault: Fault;
  readonly random: () => number;
  readonly intervalSeconds: number;
  /** Whether a process knows that its predecessor in the slot is gone. */
  readonly knowsSlot: boolean;
  readonly seconds: number;
  readonly requestsPerSecond: number;
}

interface Waiting {
  readonly key: string;
  readonly deadlineAt: number;
}

const EPOCH = 1_700_000_000_000;
const POOL = 'desks';
const NAMES = ['desk-1', 'desk-2', 'desk-3'];
const PARTS = 8;
const STEP_MILLISECONDS = 50;
const PLAN_MILLISECONDS = 250;
const AHEAD_MILLISECONDS = 5000;
const DEADLINE_MILLISECONDS = 2000;
/** Callers' wall clocks differ by up to this much from the homes'. */
const CLOCK_DIFFERENCE_MILLISECONDS = 50;
const LIST_LAG_MILLISECONDS = 2000;

function createKey(issueTime: number, serial: number): string {
  const time = issueTime.toString(16).padStart(12, '0');
  const last = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${last}`;
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
 * Runs the decision core's own homes, way (d), through a fault in simulated
 * time.
 *
 * @example
 *     simulateIntervals(options).refused;
 */
export function simulateIntervals(options: SimulateOptions): WayResult {
  const {fault, random, requestsPerSecond} = options;
  const view = createView();
  const store = {record: null as HomeRecord | null, revision: 0};
  const runs = new Map<string, number>();
  let now = 0;
  let serial = 0;
  let homeWrites = 0;
  let waiting: Waiting[] = [];

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
      homePartitionCount: PARTS,
      maximumSkewMilliseconds: AHEAD_MILLISECONDS,
    });
    core.handle({tag: 'configurationInForce', view}, now);
    return {
      core,
      slot,
      agent: createHomeRecordWriter(),
      ownerCache: createOwnerCache(),
      isUp: true,
    };
  }

  const homes = new Map(NAMES.map((name) => [name, start(name, name)]));
  const isStoreUp = () =>
    now < (fault.storeDown?.from ?? Infinity) * 1000 ||
    now >= fault.storeDown!.until * 1000;

  function see(home: ReturnType<typeof start>): void {
    const {record, revision} = store;
    home.agent.observe(record, revision);
    if (record !== null) {
      home.core.handle({tag: 'homesRead', record, revision}, now);
    }
  }

  function isListed(name: string): boolean {
    const {home} = fault;
    if (home === undefined || name !== NAMES[0]) return true;
    const isGone = home.returns !== 'resumed';
    const from = home.from * 1000 + LIST_LAG_MILLISECONDS;
    return !isGone || now < from || now >= home.until * 1000;
  }

  function plan(home: ReturnType<typeof start>): void {
    if (!home.isUp || !isStoreUp()) return;
    see(home);
    const write = home.agent.plan(
      createHomePlanOptions(home.core.state, {
        pool: POOL,
        slot: options.knowsSlot ? home.slot : '',
        listed: new Set(NAMES.filter(isListed)),
        ownerCache: home.ownerCache,
        wallNow: EPOCH + now,
        monotonicNow: now,
        intervalMilliseconds: options.intervalSeconds * 1000,
        maximumSkewMilliseconds: AHEAD_MILLISECONDS,
      }),
    );
    if (write === null) return;
    const {record, expectedRevision, releasing} = write;
    home.core.handle({tag: 'homesReleasing', homes: releasing}, now);
    homeWrites += 1;
    const hasLanded = store.revision === expectedRevision;
    if (hasLanded) {
      store.record = record;
      store.revision += 1;
    }
    const isLost = random() < (fault.lostAnswers ?? 0);
    if (!hasLanded || isLost) {
      home.agent.complete({tag: 'ambiguous'});
      return;
    }
    home.agent.complete({tag: 'written', revision: store.revision});
    see(home);
  }

  function ask({key, deadlineAt}: Waiting): boolean {
    const issueTime = getIssueTime(key)!;
    const part = getPartition(key, PARTS);
    const all = [
      ...(store.record?.earlier ?? []),
      ...(store.record?.intervals ?? []),
    ].filter((interval) => interval.part === part);
    const own = all.find(
      ({from, until}) => issueTime >= from && issueTime < until,
    );
    const home = homes.get((own ?? all.at(-1))?.home ?? '');
    if (home === undefined || !home.isUp) return false;
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
    const hasRun = commands.some(({tag}) => tag === 'startBackend');
    if (!hasRun) return false;
    runs.set(key, (runs.get(key) ?? 0) + 1);
    const output = {kind: 'call', content: {}} as never;
    home.core.handle({tag: 'backendFinished', attemptId, output}, now);
    return true;
  }

  function strike(): void {
    const {home} = fault;
    if (home === undefined) return;
    const name = NAMES[0]!;
    const struck = homes.get(name)!;
    if (now === home.from * 1000) {
      if (home.returns === 'handedOver') {
        struck.core.handle({tag: 'leaveRequested'}, now);
      } else {
        struck.isUp = false;
      }
    }
    if (now !== home.until * 1000) return;
    if (home.returns === 'resumed') struck.isUp = true;
    if (home.returns === 'sameSlot') homes.set(name, start(name, name));
    if (home.returns === 'otherInstance') {
      homes.set(name, start(name, `${name}-replaced`));
    }
  }

  let requests = 0;
  let refused = 0;
  const waits: number[] = [];
  const warmUpMilliseconds = 10_000;
  for (; now < options.seconds * 1000; now += STEP_MILLISECONDS) {
    strike();
    for (const home of homes.values()) {
      if (now % PLAN_MILLISECONDS === 0) plan(home);
      if (home.isUp) home.core.handle({tag: 'ticked'}, now);
    }
    const share = (requestsPerSecond * STEP_MILLISECONDS) / 1000;
    if (now >= warmUpMilliseconds && random() < share) {
      serial += 1;
      requests += 1;
      const skew = (random() * 2 - 1) * CLOCK_DIFFERENCE_MILLISECONDS;
      const key = createKey(EPOCH + now + Math.round(skew), serial);
      waiting.push({key, deadlineAt: now + DEADLINE_MILLISECONDS});
    }
    waiting = waiting.filter((request) => {
      if (ask(request)) {
        waits.push(now - (request.deadlineAt - DEADLINE_MILLISECONDS));
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
    doubled: [...runs.values()].filter((count) => count > 1).length,
    addedMilliseconds: waits,
    requestWrites: 0,
    homeWrites,
  };
}
