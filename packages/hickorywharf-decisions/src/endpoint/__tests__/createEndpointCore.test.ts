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
    const given = core.handle(event, now);
    commands.push(...given);
    return given;
  }
  feed({
    tag: 'homesKnown',
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
    take: (frame: Frame, peer = ENTRY) =>
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

/** An attempt's frame said short: its tag, and its reason, state or outcome. */
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
  test(`an attempt's frame that comes after its ${tag} is refused`, (t) => {
    const {take, count} = createHarness();
    const action = createAction('a');
    take({tag, ...getKey(action)});
    t.deepEqual(describe(take(action)), ['refused tombstoned']);
    t.is(count('startBackend'), 0);
  });
}

test('an attempt that comes again after its retention is not run again', (t) => {
  const {take, finish, waitUntil, count} = createHarness();
  for (const frame of [createAttempt('i'), createAction('a')]) {
    take(frame);
    finish(frame.attemptId);
  }
  waitUntil(500);
  t.deepEqual(describe(take(createAttempt('i'))), ['refused tombstoned']);
  t.deepEqual(describe(take(createAction('a'))), ['result']);
  t.is(count('startBackend'), 2);
});

test('"never ran" is not said of an action whose row was forgotten', (t) => {
  const {take, finish, waitUntil} = createHarness();
  const action = createAction('a');
  take(action);
  finish('a');
  waitUntil(500);
  const key = getKey(action);
  t.deepEqual(describe(take({tag: 'tombstone', ...key})), [
    'result',
    'tombstoned begun',
  ]);
  const recovered = take({tag: 'recover', ...key, fromPosition: 0});
  t.deepEqual(describe(recovered), ['result']);
  waitUntil(700_000);
  t.deepEqual(describe(take({tag: 'tombstone', ...key})), [
    'failed unknown',
    'tombstoned begun',
  ]);
});

test('an action that was refused stays refused when its frame comes again', (t) => {
  const {take, finish, count} = createHarness();
  for (const name of ['run', 'wait-1', 'wait-2']) take(createAttempt(name));
  t.deepEqual(describe(take(createAction('a'))), ['refused queueFull']);
  finish('run');
  t.deepEqual(describe(take(createAction('a'))), ['refused tombstoned']);
  t.is(count('accepted'), 3);
});

test('a doubled frame of an attempt begins nothing', (t) => {
  const {take, count} = createHarness(4);
  for (const attempt of [createAction('a'), createAttempt('i')]) {
    take(attempt);
    t.deepEqual(take(attempt), []);
  }
  t.is(count('startBackend'), 2);
});

test('attempts of one key share one run; another body is a conflict', (t) => {
  const {take, finish, count} = createHarness(4);
  take(createAction('a'));
  t.deepEqual(take(createAction('b'), 'entry-2'), []);
  t.deepEqual(describe(take(createAction('c', 'other'), 'entry-2')), [
    'failed notRun',
  ]);
  const ended = finish('a');
  t.deepEqual(
    ended.map((frame) => 'attemptId' in frame && frame.attemptId),
    ['a', 'b'],
  );
  t.is(count('startBackend'), 1);
});

test('recovery while a generation runs gives the rest once and in order', (t) => {
  const {feed, take} = createHarness();
  const attempt = createAttempt('g');
  take(attempt);
  feed({tag: 'backendTokens', attemptId: 'g', tokens: TOKENS.slice(0, 3)});
  const replay = take({tag: 'recover', ...getKey(attempt), fromPosition: 1});
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

test('a generation with another count than its tokens is not whole', (t) => {
  const {feed, take} = createHarness();
  take(createAttempt('g'));
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

test("a gone entry's work is cancelled at the backend, its action is not", (t) => {
  const {feed, take, count} = createHarness(1);
  take(createAttempt('i'));
  take(createAction('a'));
  feed({tag: 'peerGone', peer: 'entry-1 in another life'});
  t.is(count('cancelBackend'), 0);
  feed({tag: 'peerGone', peer: ENTRY});
  t.is(count('cancelBackend'), 1);
  const message = 'cancelled';
  feed({tag: 'backendFailed', attemptId: 'i', outcome: 'unknown', message});
  t.is(count('startBackend'), 2);
});

test('what is late is refused, or cancelled at the backend once', (t) => {
  const {take, waitUntil, count} = createHarness();
  take(createAttempt('running'));
  take(createAttempt('waiting'));
  t.deepEqual(describe(getFrames(waitUntil(1001))), ['refused cannotFinish']);
  waitUntil(1002);
  t.is(count('cancelBackend'), 1);
  t.deepEqual(
    describe(take(createAttempt('late', {remainingMilliseconds: 0}))),
    ['refused cannotFinish'],
  );
});

test('an action that began late is left to finish', (t) => {
  const {take, waitUntil, finish, count} = createHarness();
  take(createAction('a'));
  waitUntil(5000);
  t.is(count('cancelBackend'), 0);
  t.deepEqual(describe(finish('a')), ['result']);
});

test('a leaving endpoint refuses new work and finishes what it has', (t) => {
  const {feed, take, finish, count} = createHarness(1);
  take(createAction('a'));
  take(createAttempt('queued'));
  feed({tag: 'leaveRequested'});
  t.deepEqual(describe(take(createAttempt('new'))), ['refused leaving']);
  t.deepEqual(take(createAction('again'), 'entry-2'), []);
  t.deepEqual(describe(finish('a')), ['result', 'result']);
  t.is(count('startBackend'), 2);
});
