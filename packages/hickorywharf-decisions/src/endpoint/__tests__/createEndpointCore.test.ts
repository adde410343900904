import test from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import {createEndpointCore} from '../createEndpointCore.ts';
import type {EndpointCommand} from '../endpointCommand.ts';
import type {EndpointEvent} from '../endpointEvent.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

const KEY = '018f3b1c-0000-7000-8000-000000000000';
const ENTRY = 'entry-1';
const OUTPUT = {kind: 'call', response: {done: true}} as const;
const TOKENS = ['t0', 't1', 't2', 't3'];

function createAttempt(
  attemptId: string,
  changes: Partial<AttemptFrame> = {},
): AttemptFrame {
  return {
    tag: 'attempt',
    requestId: `r-${attemptId}`,
    stageIndex: 0,
    attemptId,
    kind: 'generate',
    pool: 'desks',
    idempotent: true,
    half: null,
    account: 'desk',
    accountWeight: 1,
    remainingMilliseconds: 1000,
    laterMilliseconds: 0,
    input: {text: 'a toy'},
    idempotencyKey: null,
    bodyDigest: null,
    traceparent: null,
    ...changes,
  };
}

function createAction(attemptId: string, bodyDigest = 'b'): AttemptFrame {
  return createAttempt(attemptId, {
    kind: 'call',
    idempotent: false,
    idempotencyKey: KEY,
    bodyDigest,
  });
}

function createHarness(slots = 1) {
  const core = createEndpointCore({
    name: 'desk-1',
    incarnation: 'd1',
    slots,
    queueOrder: 'firstInFirstOut',
    maximumQueueLength: 2,
    retentionMilliseconds: 100,
    retentionBytes: 1_000_000,
    homePartitionCount: 1,
    maximumSkewMilliseconds: Number.MAX_SAFE_INTEGER,
  });
  let now = 0;
  const commands: EndpointCommand[] = [];
  function feed(event: EndpointEvent): EndpointCommand[] {
    const produced = core.handle(event, now);
    commands.push(...produced);
    return produced;
  }
  feed({
    tag: 'homesRead',
    revision: 1,
    record: {
      assignmentSequence: 0,
      earlier: [],
      intervals: [
        {
          pool: 'desks',
          part: 0,
          half: null,
          home: 'desk-1',
          incarnation: 'd1',
          epoch: 1,
          from: 0,
          until: Number.MAX_SAFE_INTEGER,
          assignmentSequence: 0,
          released: false,
          slot: '',
          anchor: {issueTime: 0, monotonic: 0},
        },
      ],
    },
  });
  return {
    feed,
    waitUntil(time: number) {
      now = time;
      return feed({tag: 'ticked'});
    },
    receive: (frame: Frame, peer = ENTRY) =>
      getFrames(feed({tag: 'frameArrived', peer, frame})),
    finish: (attemptId: string) =>
      getFrames(feed({tag: 'backendFinished', attemptId, output: OUTPUT})),
    count: (tag: EndpointCommand['tag']) =>
      commands.filter((command) => command.tag === tag).length,
  };
}

function getFrames(commands: readonly EndpointCommand[]): Frame[] {
  return commands.flatMap((command) =>
    command.tag === 'send' ? [command.frame] : [],
  );
}

/** Shortens frames to their tag and their reason, state or outcome. */
function describe(frames: readonly Frame[]): string[] {
  return frames.map((frame) => {
    if (frame.tag === 'refused') return `refused ${frame.reason}`;
    if (frame.tag === 'tombstoned') return `tombstoned ${frame.state}`;
    if (frame.tag === 'failed') return `failed ${frame.outcome}`;
    return frame.tag;
  });
}

function getKey({requestId, stageIndex, attemptId}: AttemptFrame) {
  return {requestId, stageIndex, attemptId};
}

for (const tag of ['tombstone', 'cancel'] as const) {
  test(`an attempt whose frame arrives after its ${tag} is refused`, (t) => {
    const {receive, count} = createHarness();
    const action = createAction('a');
    receive({tag, ...getKey(action)});
    t.deepEqual(describe(receive(action)), ['refused tombstoned']);
    t.is(count('startBackend'), 0);
  });
}

test('a frame repeated after the retention window does not run again', (t) => {
  const {receive, finish, waitUntil, count} = createHarness();
  for (const frame of [createAttempt('i'), createAction('a')]) {
    receive(frame);
    finish(frame.attemptId);
  }
  waitUntil(500);
  t.deepEqual(describe(receive(createAttempt('i'))), ['refused tombstoned']);
  t.deepEqual(describe(receive(createAction('a'))), ['result']);
  t.is(count('startBackend'), 2);
});

test('an attempt of an action is not reported as never run after its eviction', (t) => {
  const {receive, finish, waitUntil} = createHarness();
  const action = createAction('a');
  receive(action);
  finish('a');
  waitUntil(500);
  const key = getKey(action);
  t.deepEqual(describe(receive({tag: 'tombstone', ...key})), [
    'result',
    'tombstoned begun',
  ]);
  const recovered = receive({tag: 'recover', ...key, fromPosition: 0});
  t.deepEqual(describe(recovered), ['result']);
  waitUntil(700_000);
  t.deepEqual(describe(receive({tag: 'tombstone', ...key})), [
    'failed unknown',
    'tombstoned begun',
  ]);
});

test('a refused action stays refused when its frame is repeated', (t) => {
  const {receive, finish, count} = createHarness();
  for (const name of ['run', 'wait-1', 'wait-2']) receive(createAttempt(name));
  t.deepEqual(describe(receive(createAction('a'))), ['refused queueFull']);
  finish('run');
  t.deepEqual(describe(receive(createAction('a'))), ['refused tombstoned']);
  t.is(count('accepted'), 3);
});

test('a duplicated frame of an attempt starts nothing', (t) => {
  const {receive, count} = createHarness(4);
  for (const attempt of [createAction('a'), createAttempt('i')]) {
    receive(attempt);
    t.deepEqual(receive(attempt), []);
  }
  t.is(count('startBackend'), 2);
});

test('attempts of one key share one run; another body is a conflict', (t) => {
  const {receive, finish, count} = createHarness(4);
  receive(createAction('a'));
  t.deepEqual(receive(createAction('b'), 'entry-2'), []);
  t.deepEqual(describe(receive(createAction('c', 'other'), 'entry-2')), [
    'failed notRun',
  ]);
  const ended = finish('a');
  t.deepEqual(
    ended.map((frame) => 'attemptId' in frame && frame.attemptId),
    ['a', 'b'],
  );
  t.is(count('startBackend'), 1);
});

test('recovery during a generation replays the remaining tokens once and in order', (t) => {
  const {feed, receive} = createHarness();
  const attempt = createAttempt('g');
  receive(attempt);
  feed({tag: 'backendTokens', attemptId: 'g', tokens: TOKENS.slice(0, 3)});
  const replay = receive({tag: 'recover', ...getKey(attempt), fromPosition: 1});
  const rest = getFrames(
    feed({tag: 'backendTokens', attemptId: 'g', tokens: TOKENS.slice(3)}),
  );
  t.deepEqual(
    [...replay, ...rest].map(
      (frame) => frame.tag === 'tokens' && [frame.position, frame.tokens],
    ),
    [
      [1, TOKENS.slice(1, 3)],
      [3, TOKENS.slice(3)],
    ],
  );
});

test('a generation whose count differs from its tokens fails', (t) => {
  const {feed, receive} = createHarness();
  receive(createAttempt('g'));
  feed({tag: 'backendTokens', attemptId: 'g', tokens: TOKENS});
  const output = {
    kind: 'generate',
    tokens: [],
    tokenCount: TOKENS.length + 1,
    cachedTokens: 0,
  } as const;
  const ended = feed({tag: 'backendFinished', attemptId: 'g', output});
  t.deepEqual(describe(getFrames(ended)), ['failed unknown']);
});

test('the loss of an entry cancels its idempotent attempts but not its action', (t) => {
  const {feed, receive, count} = createHarness(1);
  receive(createAttempt('i'));
  receive(createAction('a'));
  feed({tag: 'peerDisconnected', peer: 'entry-1 of another incarnation'});
  t.is(count('cancelBackend'), 0);
  feed({tag: 'peerDisconnected', peer: ENTRY});
  t.is(count('cancelBackend'), 1);
  const message = 'cancelled';
  feed({tag: 'backendFailed', attemptId: 'i', outcome: 'unknown', message});
  t.is(count('startBackend'), 2);
});

test('after its deadline an attempt is refused or, if it runs, cancelled once', (t) => {
  const {receive, waitUntil, count} = createHarness();
  receive(createAttempt('running'));
  receive(createAttempt('waiting'));
  t.deepEqual(describe(getFrames(waitUntil(1001))), ['refused cannotFinish']);
  waitUntil(1002);
  t.is(count('cancelBackend'), 1);
  t.deepEqual(
    describe(receive(createAttempt('late', {remainingMilliseconds: 0}))),
    ['refused cannotFinish'],
  );
});

test('an action that runs past its deadline is left to finish', (t) => {
  const {receive, waitUntil, finish, count} = createHarness();
  receive(createAction('a'));
  waitUntil(5000);
  t.is(count('cancelBackend'), 0);
  t.deepEqual(describe(finish('a')), ['result']);
});

test('a leaving endpoint refuses new work and finishes accepted work', (t) => {
  const {feed, receive, finish, count} = createHarness(1);
  receive(createAction('a'));
  receive(createAttempt('queued'));
  feed({tag: 'leaveRequested'});
  t.deepEqual(describe(receive(createAttempt('new'))), ['refused leaving']);
  t.deepEqual(receive(createAction('again'), 'entry-2'), []);
  t.deepEqual(describe(finish('a')), ['result', 'result']);
  t.is(count('startBackend'), 2);
});
