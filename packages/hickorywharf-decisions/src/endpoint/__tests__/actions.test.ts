import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import test from 'ava';
import {createOwnerCache} from '../../homes/createOwnerCache.ts';
import {createHomePlanOptions} from '../../homes/createHomePlanOptions.ts';
import type {HomeRecord} from '../../homes/homeRecord.ts';
import {createEndpointCore} from '../createEndpointCore.ts';
import type {EndpointCommand} from '../endpointCommand.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type Interval = HomeRecord['intervals'][number];

const MAXIMUM_SKEW_MILLISECONDS = 500;
const UNTIMED_KEY = 'booking-7';

function createKey(issueTime: number): string {
  const time = issueTime.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000000`;
}

function createInterval(changes: Partial<Interval> = {}): Interval {
  return {
    pool: 'desks',
    part: 0,
    half: null,
    home: 'desk-1',
    incarnation: 'one',
    epoch: 1,
    from: 0,
    until: 9000,
    assignmentSequence: 0,
    released: false,
    slot: 'slot',
    anchor: {issueTime: 0, monotonic: 0},
    ...changes,
  };
}

function createHomeCore(
  intervals: readonly Interval[] = [createInterval()],
  earlier: readonly HomeInterval[] = [],
) {
  const core = createEndpointCore({
    name: 'desk-1',
    incarnation: 'one',
    slots: 1,
    queueOrder: 'slack',
    maximumQueueLength: 10,
    retentionMilliseconds: 1000,
    retentionBytes: 10_000,
    homePartitionCount: 1,
    maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
  });
  const record = {assignmentSequence: 0, intervals, earlier};
  core.handle({tag: 'homesRead', record, revision: 1}, 0);
  return core;
}

type Core = ReturnType<typeof createHomeCore>;

function sendAction(
  core: Core,
  attemptId: string,
  key: string,
  now: number,
): EndpointCommand[] {
  const frame: AttemptFrame = {
    tag: 'attempt',
    requestId: `request-${attemptId}`,
    stageIndex: 0,
    attemptId,
    kind: 'call',
    pool: 'desks',
    idempotent: false,
    half: null,
    account: 'portal',
    accountWeight: 1,
    remainingMilliseconds: 100_000,
    laterMilliseconds: 0,
    input: {text: 'a toy'},
    idempotencyKey: key,
    bodyDigest: 'b',
    traceparent: null,
  };
  return core.handle({tag: 'frameArrived', peer: 'entry', frame}, now);
}

const hasStarted = (commands: readonly EndpointCommand[]) =>
  commands.some(({tag}) => tag === 'startBackend');

function getReason(commands: readonly EndpointCommand[]): string | undefined {
  for (const command of commands) {
    if (command.tag !== 'send') continue;
    if (command.frame.tag === 'refused') return command.frame.reason;
  }
  return undefined;
}

function finish(core: Core, attemptId: string, now: number): EndpointCommand[] {
  const output = {kind: 'call', content: {booked: true}} as never;
  return core.handle({tag: 'backendFinished', attemptId, output}, now);
}

test("a caller's retry through another entry joins the run and gets its result", (t) => {
  const core = createHomeCore();
  t.true(hasStarted(sendAction(core, 'a', createKey(100), 0)));
  t.false(hasStarted(sendAction(core, 'b', createKey(100), 1)));
  const results = finish(core, 'a', 2).filter(
    ({tag}) => tag === 'send',
  ) as Extract<EndpointCommand, {tag: 'send'}>[];
  t.deepEqual(
    results.map(({frame}) => 'attemptId' in frame && frame.attemptId),
    ['a', 'b'],
  );
  t.false(hasStarted(sendAction(core, 'c', createKey(100), 3)));
});

test('an attempt whose frame arrives after its tombstone does not start', (t) => {
  const core = createHomeCore();
  const key = {requestId: 'request-a', stageIndex: 0, attemptId: 'a'};
  const frame = {tag: 'tombstone', ...key} as const;
  core.handle({tag: 'frameArrived', peer: 'entry', frame}, 0);
  t.is(getReason(sendAction(core, 'a', createKey(100), 1)), 'tombstoned');
});

test('an evicted key stays refused when the clock steps back', (t) => {
  const core = createHomeCore([createInterval({until: 10_000_000})]);
  sendAction(core, 'a', createKey(400), 0);
  finish(core, 'a', 1);
  core.handle({tag: 'ticked'}, 600_002);
  t.is(core.state.actions.size, 0);
  t.is(
    getReason(sendAction(core, 'b', createKey(400), 600_003)),
    'keyForgotten',
  );
  t.true(hasStarted(sendAction(core, 'c', createKey(401), 600_004)));
  const options = createHomePlanOptions(core.state, {
    pool: 'desks',
    slot: 'slot',
    listed: new Set(['desk-1']),
    ownerCache: createOwnerCache(),
    wallNow: 10,
    monotonicNow: 600_005,
    intervalMilliseconds: 1000,
    maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
  });
  t.is(options.getAcceptedUntil(null, 0), 402);
});

test('the watermark bounds a release when no action is retained', (t) => {
  const core = createHomeCore([createInterval({until: 10_000_000})]);
  sendAction(core, 'a', createKey(400), 0);
  finish(core, 'a', 1);
  core.handle({tag: 'ticked'}, 600_002);
  const options = createHomePlanOptions(core.state, {
    pool: 'desks',
    slot: 'slot',
    listed: new Set(['desk-1']),
    ownerCache: createOwnerCache(),
    wallNow: 10,
    monotonicNow: 600_005,
    intervalMilliseconds: 1000,
    maximumSkewMilliseconds: MAXIMUM_SKEW_MILLISECONDS,
  });
  t.is(options.getAcceptedUntil(null, 0), 401);
});

test('a home runs no key issued at or above its ceiling', (t) => {
  const core = createHomeCore();
  t.is(
    getReason(sendAction(core, 'a', createKey(500), 0)),
    'keyOutsideInterval',
  );
  t.true(hasStarted(sendAction(core, 'b', createKey(500), 1)));
});

test('a home paused past its interval runs keys of that interval and no later ones', (t) => {
  const core = createHomeCore();
  const late = 60_000;
  t.is(
    getReason(sendAction(core, 'a', createKey(9000), late)),
    'keyOutsideInterval',
  );
  t.true(hasStarted(sendAction(core, 'b', createKey(8999), late)));
});

test('a release takes effect before its write is confirmed', (t) => {
  const core = createHomeCore();
  const homes = [createInterval({until: 300, released: true})];
  core.handle({tag: 'homesReleasing', homes}, 0);
  t.is(
    getReason(sendAction(core, 'a', createKey(300), 0)),
    'keyOutsideInterval',
  );
  t.true(hasStarted(sendAction(core, 'b', createKey(299), 0)));
  const later = [createInterval({until: 400, released: true})];
  core.handle({tag: 'homesReleasing', homes: later}, 0);
  t.is(
    getReason(sendAction(core, 'c', createKey(300), 0)),
    'keyOutsideInterval',
  );
});

test('a leaving home accepts keys that only it may run, for a limited time', (t) => {
  const released = createInterval({until: 400, released: true});
  const core = createHomeCore([released]);
  core.handle({tag: 'leaveRequested'}, 0);
  t.true(hasStarted(sendAction(core, 'a', createKey(100), 1400)));
  t.is(getReason(sendAction(core, 'b', createKey(101), 1600)), 'homeLeft');
});

test('a home that has handed over still runs keys of its earlier interval', (t) => {
  const successor = createInterval({home: 'desk-2', epoch: 2, from: 400});
  const core = createHomeCore([successor], [createInterval({until: 400})]);
  t.true(hasStarted(sendAction(core, 'a', createKey(399), 0)));
  t.is(getReason(sendAction(core, 'b', createKey(400), 0)), 'wrongHome');
});

test('a key of a predecessor is refused, whether its interval has ended or not', (t) => {
  const predecessor = createInterval({incarnation: 'zero', until: 400});
  const unreleased = createHomeCore([predecessor]);
  const key = createKey(100);
  t.is(getReason(sendAction(unreleased, 'a', key, 0)), 'homeUnsettled');
  const own = createInterval({epoch: 2, from: 400});
  const ended = createHomeCore([own], [predecessor]);
  t.is(getReason(sendAction(ended, 'a', key, 0)), 'keyForgotten');
  const pruned = createHomeCore([own]);
  t.is(getReason(sendAction(pruned, 'a', key, 0)), 'keyForgotten');
});

test('a key with another body, account or stage is a conflict', (t) => {
  const core = createHomeCore();
  sendAction(core, 'a', createKey(100), 0);
  const known = core.state.attempts.get('a')!.frame;
  const changes = [{bodyDigest: 'c'}, {account: 'other'}, {stageIndex: 1}];
  for (const [index, change] of changes.entries()) {
    const frame = {...known, ...change, attemptId: `b-${index}`};
    const [sent] = core.handle({tag: 'frameArrived', peer: 'e', frame}, 1);
    t.like(sent, {tag: 'send', frame: {tag: 'failed', conflict: true}});
  }
});

test('a key without an issue time runs only once its claim is won', (t) => {
  const core = createHomeCore();
  const claimed = sendAction(core, 'a', UNTIMED_KEY, 0);
  t.like(claimed, [{tag: 'claim', attemptId: 'a'}]);
  t.deepEqual(sendAction(core, 'b', UNTIMED_KEY, 1), []);
  const won = core.handle(
    {tag: 'claimResolved', attemptId: 'a', outcome: 'won'},
    2,
  );
  t.true(hasStarted(won));
  t.false(hasStarted(sendAction(core, 'c', UNTIMED_KEY, 3)));
});

test('a key whose claim is lost or has no known outcome is refused', (t) => {
  for (const [outcome, reason] of [
    ['lost', 'keyClaimed'],
    ['unavailable', 'claimUnavailable'],
  ] as const) {
    const core = createHomeCore();
    sendAction(core, 'a', UNTIMED_KEY, 0);
    const results = core.handle(
      {tag: 'claimResolved', attemptId: 'a', outcome},
      1,
    );
    t.is(getReason(results), reason);
  }
});

test('a claim that is won after its attempt was withdrawn starts nothing', (t) => {
  const core = createHomeCore();
  sendAction(core, 'a', UNTIMED_KEY, 0);
  const key = {requestId: 'request-a', stageIndex: 0, attemptId: 'a'};
  const frame = {tag: 'tombstone', ...key} as const;
  const results = core.handle({tag: 'frameArrived', peer: 'e', frame}, 1);
  t.like(results.at(-1), {frame: {tag: 'tombstoned', state: 'neverRan'}});
  const won = core.handle(
    {tag: 'claimResolved', attemptId: 'a', outcome: 'won'},
    2,
  );
  t.false(hasStarted(won));
});

test('a delayed read of an older home record changes nothing', (t) => {
  const core = createHomeCore([createInterval({epoch: 2, from: 400})]);
  const intervals = [createInterval()];
  const record = {assignmentSequence: 0, intervals, earlier: []};
  core.handle({tag: 'homesRead', record, revision: 1}, 0);
  t.is(core.state.homes.record.intervals[0]?.epoch, 2);
});
