import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import test from 'ava';
import type {EntryCommand} from '../entryCommand.ts';
import {createConnectedCore} from './createConnectedCore.ts';

const KEY_HASH = 'a'.repeat(64);
const KEY = '000000000064-7000-8000-000000000000'.replace(/^(.{8})/, '$1-');
const ISSUE_TIME = 100;
const ENDPOINTS = ['desk-1', 'desk-2', 'desk-3'];
const DOCUMENTS: readonly Record<string, unknown>[] = [
  {kind: 'account', name: 'desk', keyHash: KEY_HASH, requestsPerSecond: 9},
  {
    kind: 'pipeline',
    name: 'lend',
    deadlineMilliseconds: 1000,
    stages: [{name: 'lend', kind: 'call', pool: 'desks', idempotent: false}],
  },
  ...ENDPOINTS.map((name) => ({kind: 'endpoint', name, pool: 'desks'})),
];

function createHome(changes: Partial<HomeInterval>): HomeInterval {
  return {
    pool: 'desks',
    part: 0,
    half: null,
    home: 'desk-1',
    incarnation: '1',
    epoch: 1,
    from: 0,
    until: 9000,
    assignmentSequence: 0,
    ...changes,
  };
}

function createReadyCore() {
  return createConnectedCore({
    core: {homePartitionCount: 1, maximumRequests: 10},
    documents: DOCUMENTS,
    endpoints: ENDPOINTS,
  });
}

type Core = ReturnType<typeof createReadyCore>;
type Sent = Extract<EntryCommand, {tag: 'send'}>;

function findAttempt(commands: readonly EntryCommand[]): Sent | undefined {
  return commands.find(
    (command): command is Sent =>
      command.tag === 'send' && command.frame.tag === 'attempt',
  );
}

function findOutcome(commands: readonly EntryCommand[]): string | undefined {
  const failed = commands.find(({tag}) => tag === 'fail');
  return failed?.tag === 'fail' ? failed.error.outcome : undefined;
}

function arrive(core: Core) {
  return core.handle(
    {
      tag: 'requestArrived',
      requestId: 'r',
      pipelineName: 'lend',
      keyHash: KEY_HASH,
      input: {text: 'a toy'},
      idempotencyKey: KEY,
      bodyDigest: 'b',
      deadlineMilliseconds: null,
      traceparent: null,
    },
    0,
  );
}

function refuse(
  core: Core,
  {endpoint, frame}: Sent,
  reason: RefusalReason,
  homes: readonly HomeInterval[] = [],
) {
  const {requestId, stageIndex, attemptId} = frame as Extract<
    Frame,
    {tag: 'attempt'}
  >;
  const key = {requestId, stageIndex, attemptId};
  const refusal = {tag: 'refused', ...key, reason, message: '', homes} as const;
  return core.handle({tag: 'frameArrived', endpoint, frame: refusal}, 1);
}

function reportHomes(core: Core, homes: readonly HomeInterval[]): void {
  const frame = {tag: 'homes', homes} as const;
  core.handle({tag: 'frameArrived', endpoint: 'desk-1', frame}, 0);
}

test('an entry that knows no homes follows a redirect at once', (t) => {
  const core = createReadyCore();
  const first = findAttempt(arrive(core))!;
  const home = ENDPOINTS.find((name) => name !== first.endpoint)!;
  const results = refuse(core, first, 'wrongHome', [createHome({home})]);
  t.is(findAttempt(results)?.endpoint, home);
});

test("the home is the one of the key's issue time, even while it leaves", (t) => {
  const core = createReadyCore();
  reportHomes(core, [
    createHome({home: 'desk-3', until: ISSUE_TIME + 1}),
    createHome({home: 'desk-2', epoch: 2, from: ISSUE_TIME + 1}),
  ]);
  core.state.endpoints.get('desk-3')!.leaving = true;
  t.is(findAttempt(arrive(core))?.endpoint, 'desk-3');
});

test('an older interval does not replace a newer one', (t) => {
  const core = createReadyCore();
  reportHomes(core, [
    createHome({home: 'desk-2', epoch: 2, from: 50}),
    createHome({home: 'desk-3', until: 50}),
  ]);
  t.is(findAttempt(arrive(core))?.endpoint, 'desk-2');
});

test('the outcome is "not run" only where the key cannot have run before', (t) => {
  const finalRefusals = [
    ['keyForgotten', 'unknown'],
    ['keyClaimed', 'unknown'],
    ['homeLeft', 'notRun'],
    ['keyInvalid', 'notRun'],
  ] as const;
  for (const [reason, outcome] of finalRefusals) {
    const core = createReadyCore();
    const results = refuse(core, findAttempt(arrive(core))!, reason);
    t.is(findOutcome(results), outcome, reason);
  }
  const retriedRefusals = [
    ['wrongHome', 'unknown'],
    ['homeUnsettled', 'unknown'],
    ['keyOutsideInterval', 'notRun'],
    ['claimUnavailable', 'notRun'],
  ] as const;
  for (const [reason, outcome] of retriedRefusals) {
    const core = createReadyCore();
    refuse(core, findAttempt(arrive(core))!, reason);
    const results = core.handle({tag: 'ticked'}, 1000);
    t.is(findOutcome(results), outcome, reason);
  }
});
