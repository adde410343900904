import test from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import type {Instance} from 'hickorywharf-types/instance';
import {createConfigurationLog} from '../../configuration/createConfigurationLog.ts';
import {createEntryCore} from '../createEntryCore.ts';
import type {EntryCommand} from '../entryCommand.ts';
import type {EntryEvent} from '../entryEvent.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

const KEY_HASH = 'a'.repeat(64);
const ENDPOINTS = ['engine-1', 'engine-2', 'desk-1'];
const VECTOR = {kind: 'encode', vector: [1]} as const;
const DOCUMENTS = [
  {
    kind: 'account',
    schemaVersion: 1,
    name: 'desk',
    keyHash: KEY_HASH,
    requestsPerSecond: 100,
  },
  ...[
    {name: 'generate', kind: 'generate', pool: 'engines'},
    {name: 'encode', kind: 'encode', pool: 'engines'},
    {name: 'call', kind: 'call', pool: 'desks', idempotent: false},
  ].map((stage) => ({
    kind: 'pipeline',
    schemaVersion: 1,
    name: stage.name,
    deadlineMilliseconds: 10_000,
    stages: [stage],
  })),
  {
    kind: 'pipeline',
    schemaVersion: 1,
    name: 'report',
    deadlineMilliseconds: 10_000,
    stages: [
      {name: 'encode', kind: 'encode', pool: 'engines'},
      {name: 'generate', kind: 'generate', pool: 'engines'},
    ],
  },
  ...ENDPOINTS.map((name) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name,
    pool: `${name.split('-')[0]}s`,
  })),
];

function createInstance(name: string, changes: Partial<Instance> = {}) {
  return {
    name,
    role: 'endpoint',
    address: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    state: 'live',
    ...changes,
  } satisfies Instance;
}

function createHarness() {
  const core = createEntryCore({
    failureDomain: 'a',
    incarnation: 'entry',
    routingPolicy: 'roundRobin',
    homePartitionCount: 1,
    maximumRequests: 10,
    random: () => 0,
  });
  let now = 0;
  const commands: EntryCommand[] = [];
  function feed(event: EntryEvent): EntryCommand[] {
    const returned = core.handle(event, now);
    commands.push(...returned);
    return returned;
  }
  const log = createConfigurationLog();
  const changes = DOCUMENTS.map((document) => {
    const {kind, name} = document;
    return {kind, name, document};
  });
  log.applyEntries([{sequence: 1, operation: 'first', changes}]);
  feed({tag: 'configurationInForce', view: log.getView()});
  function apply(document: Readonly<Record<string, unknown>>): void {
    const {kind, name} = document as {kind: string; name: string};
    const change = {kind, name, document};
    log.applyEntries([{sequence: 2, operation: 'second', changes: [change]}]);
    feed({tag: 'configurationInForce', view: log.getView()});
  }
  const instances = ENDPOINTS.map((name) => createInstance(name));
  feed({tag: 'instancesListed', instances});
  for (const endpoint of ENDPOINTS) {
    feed({tag: 'endpointConnected', endpoint, incarnation: '1'});
  }
  feed({tag: 'ticked'});

  function getAttempts(returned: readonly EntryCommand[] = commands) {
    return returned.flatMap((command) =>
      command.tag === 'send' && command.frame.tag === 'attempt'
        ? [{endpoint: command.endpoint, frame: command.frame}]
        : [],
    );
  }
  return {
    core,
    feed,
    apply,
    getAttempts,
    /** Sends a request and returns its first attempt. */
    sendRequest(pipelineName: string, requestId = 'r') {
      const returned = feed({
        tag: 'requestArrived',
        requestId,
        pipelineName,
        keyHash: KEY_HASH,
        input: {text: 'a toy'},
        idempotencyKey: '018f3b1c-0000-7000-8000-000000000000',
        bodyDigest: 'b',
        deadlineMilliseconds: null,
        traceparent: null,
      });
      return getAttempts(returned)[0]!;
    },
    waitUntil(time: number, responsive: readonly string[] = []) {
      for (; now < time; now += 100) {
        for (const endpoint of responsive) sendHeartbeat(endpoint);
        feed({tag: 'ticked'});
      }
    },
    skipTo(time: number) {
      now = time;
      return feed({tag: 'ticked'});
    },
    receive: (endpoint: string, frame: Frame) =>
      feed({tag: 'frameArrived', endpoint, frame}),
    sendHeartbeat,
    getSent: (tag: Frame['tag']) =>
      commands.filter(
        (command) => command.tag === 'send' && command.frame.tag === tag,
      ).length,
    getTokens: () =>
      commands.flatMap((command) =>
        command.tag === 'deliverTokens'
          ? [[command.position, ...command.tokens]]
          : [],
      ),
    getOutcomes: () =>
      commands.flatMap((command) => {
        if (command.tag === 'answer') return ['answered'];
        return command.tag === 'fail' ? [command.error.outcome] : [];
      }),
  };

  function sendHeartbeat(endpoint: string, leaving = false): EntryCommand[] {
    const frame: Frame = {
      tag: 'heartbeat',
      leaving,
      load: null,
      configurationSequence: 1,
    };
    return feed({tag: 'frameArrived', endpoint, frame});
  }
}

type Harness = ReturnType<typeof createHarness>;

function getKey({requestId, stageIndex, attemptId}: AttemptFrame) {
  return {requestId, stageIndex, attemptId};
}

function createTokens(
  attempt: AttemptFrame,
  position: number,
  ...tokens: string[]
): Frame {
  return {tag: 'tokens', ...getKey(attempt), position, tokens};
}

function createResult(attempt: AttemptFrame, tokenCount: number): Frame {
  const generated = {kind: 'generate', tokens: [], cachedTokens: 0} as const;
  return {
    tag: 'result',
    ...getKey(attempt),
    output: attempt.kind === 'encode' ? VECTOR : {...generated, tokenCount},
    queuedMilliseconds: 0,
    backendMilliseconds: 0,
  };
}

test('late tokens of a superseded generation are ignored', (t) => {
  const harness = createHarness();
  const first = harness.sendRequest('generate');
  harness.receive(first.endpoint, createTokens(first.frame, 0, 'a', 'b'));
  const others = ENDPOINTS.filter((name) => name !== first.endpoint);
  harness.waitUntil(2000, others);
  const second = harness.getAttempts()[1]!;
  t.not(second.endpoint, first.endpoint);
  t.deepEqual(second.frame.input.continuation, ['a', 'b']);
  harness.receive(first.endpoint, createTokens(first.frame, 2, 'stale'));
  harness.receive(first.endpoint, createResult(first.frame, 3));
  harness.receive(second.endpoint, createTokens(second.frame, 2, 'c'));
  harness.receive(second.endpoint, createResult(second.frame, 3));
  t.deepEqual(harness.getTokens(), [
    [0, 'a', 'b'],
    [2, 'c'],
  ]);
  t.deepEqual(harness.getOutcomes(), ['answered']);
  t.is(harness.getSent('cancel'), 1);
});

test('lost tokens are requested again and repeated ones are dropped', (t) => {
  const harness = createHarness();
  const {endpoint, frame} = harness.sendRequest('generate');
  harness.receive(endpoint, createTokens(frame, 0, 'a'));
  harness.receive(endpoint, createTokens(frame, 3, 'd'));
  harness.receive(endpoint, createResult(frame, 4));
  t.is(harness.getSent('recover'), 1);
  harness.receive(endpoint, createTokens(frame, 0, 'a', 'b', 'c'));
  harness.receive(endpoint, createTokens(frame, 2, 'c', 'd'));
  harness.receive(endpoint, createResult(frame, 4));
  harness.receive(endpoint, createResult(frame, 4));
  t.deepEqual(harness.getTokens(), [
    [0, 'a'],
    [1, 'b', 'c'],
    [3, 'd'],
  ]);
  t.deepEqual(harness.getOutcomes(), ['answered']);
});

test('a complete result of a superseded attempt is used, and only once', (t) => {
  const harness = createHarness();
  const first = harness.sendRequest('report');
  const others = ENDPOINTS.filter((name) => name !== first.endpoint);
  harness.waitUntil(2000, others);
  const second = harness.getAttempts()[1]!;
  harness.receive(first.endpoint, createResult(first.frame, 0));
  t.is(harness.getSent('cancel'), 1);
  harness.receive(second.endpoint, createResult(second.frame, 0));
  t.is(harness.core.state.requests.get('r')!.outputs.length, 1);
  t.deepEqual(harness.getOutcomes(), []);
});

test('a heartbeat does not overrule an instance list that says leaving', (t) => {
  for (const leaving of ['engine-1', 'engine-2']) {
    const harness = createHarness();
    const instances = ENDPOINTS.map((name) =>
      createInstance(name, name === leaving ? {state: 'leaving'} : {}),
    );
    harness.feed({tag: 'instancesListed', instances});
    harness.sendHeartbeat(leaving);
    t.not(harness.sendRequest('encode').endpoint, leaving);
  }
});

test('an endpoint that drains, leaves, disconnects or is silent gets no attempts', (t) => {
  const leave: Record<string, (harness: Harness, endpoint: string) => void> = {
    record(harness, endpoint) {
      const draining = DOCUMENTS.find(({name}) => name === endpoint);
      harness.apply({...draining, draining: true});
    },
    heartbeat: (harness, endpoint) => harness.sendHeartbeat(endpoint, true),
    loss: (harness, endpoint) =>
      harness.feed({tag: 'endpointDisconnected', endpoint}),
    silence: (harness, endpoint) =>
      harness.waitUntil(
        2000,
        ENDPOINTS.filter((name) => name !== endpoint),
      ),
  };
  for (const signal of Object.keys(leave)) {
    for (const endpoint of ['engine-1', 'engine-2']) {
      const harness = createHarness();
      leave[signal]!(harness, endpoint);
      t.not(harness.sendRequest('encode').endpoint, endpoint, signal);
    }
  }
});

test('an endpoint that moved is connected again once its connection is lost', (t) => {
  const {feed} = createHarness();
  const instances = ENDPOINTS.map((name) => createInstance(name, {port: 2}));
  const early = feed({tag: 'instancesListed', instances});
  t.deepEqual(early, []);
  feed({tag: 'endpointDisconnected', endpoint: 'desk-1'});
  const commands = feed({tag: 'instancesListed', instances});
  t.deepEqual(
    commands.map((command) => command.tag === 'connect' && command.endpoint),
    ['desk-1'],
  );
});

test('a pause of this process does not count as silence of its peers', (t) => {
  const harness = createHarness();
  const {frame} = harness.sendRequest('encode');
  harness.skipTo(5000);
  const request = harness.core.state.requests.get('r')!;
  t.is(request.currentAttemptId, frame.attemptId);
});

test('an action that its home does not know is tombstoned, then sent again', (t) => {
  const harness = createHarness();
  const {endpoint, frame} = harness.sendRequest('call');
  harness.receive(endpoint, {tag: 'attemptUnknown', ...getKey(frame)});
  t.is(harness.getSent('tombstone'), 1);
  t.is(harness.getAttempts().length, 1);
  const state = 'neverRan';
  harness.receive(endpoint, {tag: 'tombstoned', ...getKey(frame), state});
  t.is(harness.getAttempts().length, 2);
});

test('a tombstone that was lost with the connection is sent again', (t) => {
  const harness = createHarness();
  const {endpoint, frame} = harness.sendRequest('call');
  harness.waitUntil(9900, ENDPOINTS);
  harness.feed({tag: 'ticked'});
  t.is(harness.getSent('tombstone'), 1);
  harness.feed({tag: 'endpointDisconnected', endpoint});
  harness.feed({tag: 'endpointConnected', endpoint, incarnation: '1'});
  t.is(harness.getSent('tombstone'), 2);
  const state = 'neverRan';
  harness.receive(endpoint, {tag: 'tombstoned', ...getKey(frame), state});
  t.deepEqual(harness.getOutcomes(), ['notRun']);
  t.is(harness.getAttempts().length, 1);
});

test('an action that could not be sent is sent again after a pause', (t) => {
  const harness = createHarness();
  const {endpoint, frame} = harness.sendRequest('call');
  const {attemptId} = frame;
  const returned = harness.feed({tag: 'attemptNotSent', endpoint, attemptId});
  t.deepEqual(harness.getAttempts(returned), []);
  harness.waitUntil(300, ENDPOINTS);
  t.is(harness.getAttempts().length, 2);
});

test('when a caller disconnects, its attempts are cancelled', (t) => {
  const harness = createHarness();
  harness.sendRequest('generate');
  harness.feed({tag: 'callerGone', requestId: 'r'});
  t.is(harness.getSent('cancel'), 1);
  t.is(harness.core.state.attempts.size, 0);
});
