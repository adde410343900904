import v8 from 'node:v8';
import vm from 'node:vm';
import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import type {Frame} from 'hickorywharf-types/frame';

const ACTIONS = 20_000;
const INTERVAL_END = 2 ** 47;

/** Heap in use after a full garbage collection. */
function readHeapBytes(): number {
  v8.setFlagsFromString('--expose-gc');
  (vm.runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

function createKey(serial: number): string {
  const lastGroup = serial.toString(16).padStart(12, '0');
  return `018bcfe5-6800-7000-8000-${lastGroup}`;
}

/**
 * Measures the bytes that a home retains for each executed action, so as not to
 * run it again, after the attempt itself has been evicted.
 *
 * @example
 *     measureActionBytes();
 */
export function measureActionBytes(): number {
  const core = createEndpointCore({
    name: 'desk-1',
    incarnation: 'one',
    slots: 1,
    queueOrder: 'slack',
    maximumQueueLength: 10,
    retentionMilliseconds: 1,
    retentionBytes: 1,
    homePartitionCount: 1,
    maximumSkewMilliseconds: INTERVAL_END,
  });
  const interval = {
    pool: 'desks',
    part: 0,
    half: null,
    home: 'desk-1',
    incarnation: 'one',
    epoch: 1,
    from: 0,
    until: INTERVAL_END,
    assignmentSequence: 0,
    released: false,
    slot: '',
    anchor: {issueTime: 0, monotonic: 0},
  };
  const record = {assignmentSequence: 0, intervals: [interval], earlier: []};
  core.handle({tag: 'homesRead', record, revision: 1}, 0);
  const before = readHeapBytes();
  for (let serial = 0; serial < ACTIONS; serial += 1) {
    const attemptId = `entry-${serial}`;
    const frame: Extract<Frame, {tag: 'attempt'}> = {
      tag: 'attempt',
      requestId: createKey(serial + ACTIONS),
      stageIndex: 0,
      attemptId,
      kind: 'call',
      pool: 'desks',
      idempotent: false,
      half: null,
      account: 'portal',
      accountWeight: 1,
      remainingMilliseconds: 1000,
      laterMilliseconds: 0,
      input: {text: ''},
      idempotencyKey: createKey(serial),
      bodyDigest: String(serial).padStart(64, '0'),
      traceparent: null,
    };
    core.handle({tag: 'frameArrived', peer: 'entry', frame}, 0);
    const content = {loan: `loan-${serial}`, due: '2026-12-24'};
    const output = {kind: 'call', content} as never;
    core.handle({tag: 'backendFinished', attemptId, output}, 0);
    core.handle({tag: 'ticked'}, 0);
  }
  const after = readHeapBytes();
  return (after - before) / core.state.actions.size;
}
