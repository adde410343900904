import test from 'ava';
import type {EntryEvent} from '../entryEvent.ts';
import {createConnectedCore} from './createConnectedCore.ts';

const KEY_HASH = 'a'.repeat(64);
const DOCUMENTS = [
  {
    kind: 'account',
    schemaVersion: 1,
    name: 'desk',
    keyHash: KEY_HASH,
    requestsPerSecond: 10,
  },
  {
    kind: 'pipeline',
    schemaVersion: 1,
    name: 'lend',
    deadlineMilliseconds: 1000,
    stages: [
      {name: 'encode', kind: 'encode', pool: 'encoders'},
      {name: 'checkout', kind: 'call', pool: 'desks', idempotent: false},
    ],
  },
  {kind: 'endpoint', schemaVersion: 1, name: 'encoder-1', pool: 'encoders'},
  {kind: 'endpoint', schemaVersion: 1, name: 'encoder-2', pool: 'encoders'},
  {kind: 'endpoint', schemaVersion: 1, name: 'desk-1', pool: 'desks'},
];
const ENDPOINTS = ['encoder-1', 'encoder-2', 'desk-1'];

function createReadyCore() {
  return createConnectedCore({
    core: {maximumRequests: 10},
    documents: DOCUMENTS,
    endpoints: ENDPOINTS,
  });
}

const ARRIVAL: EntryEvent = {
  tag: 'requestArrived',
  requestId: 'r',
  pipelineName: 'lend',
  keyHash: KEY_HASH,
  input: {text: 'a toy'},
  idempotencyKey: '018f3b1c-0000-7000-8000-000000000000',
  bodyDigest: 'b',
  deadlineMilliseconds: null,
  traceparent: null,
};

type Core = ReturnType<typeof createReadyCore>;

function sendEvent(core: Core, event: EntryEvent, now: number) {
  const commands = core.handle(event, now);
  const sent = commands.find(
    (command) => command.tag === 'send' && command.frame.tag === 'attempt',
  );
  const attempt =
    sent?.tag === 'send' && sent.frame.tag === 'attempt' ? sent.frame : null;
  return {
    commands,
    attempt,
    endpoint: sent?.tag === 'send' ? sent.endpoint : '',
  };
}

function finishEncode(core: Core) {
  const {attempt, endpoint} = sendEvent(core, ARRIVAL, 10);
  const {requestId, stageIndex, attemptId} = attempt!;
  return sendEvent(
    core,
    {
      tag: 'frameArrived',
      endpoint,
      frame: {
        tag: 'result',
        requestId,
        stageIndex,
        attemptId,
        output: {kind: 'encode', vector: [1]},
        queuedMilliseconds: 0,
        backendMilliseconds: 1,
      },
    },
    20,
  );
}

test('a request passes through its stages and is answered', (t) => {
  const core = createReadyCore();
  const {attempt, endpoint} = finishEncode(core);
  t.is(endpoint, 'desk-1');
  const {requestId, stageIndex, attemptId} = attempt!;
  const {commands} = sendEvent(
    core,
    {
      tag: 'frameArrived',
      endpoint,
      frame: {
        tag: 'result',
        requestId,
        stageIndex,
        attemptId,
        output: {kind: 'call', response: {done: true}},
        queuedMilliseconds: 0,
        backendMilliseconds: 1,
      },
    },
    30,
  );
  t.true(commands.some(({tag}) => tag === 'answer'));
  t.is(core.state.requests.size, 0);
});

test('an unknown API key is refused and nothing is sent', (t) => {
  const core = createReadyCore();
  const commands = core.handle({...ARRIVAL, keyHash: 'wrong'} as EntryEvent, 0);
  t.deepEqual(
    commands.map((command) =>
      command.tag === 'fail' ? command.error.tag : command.tag,
    ),
    ['unauthenticated'],
  );
});

test('an action at a replaced endpoint process ends as unknown, without a retry', (t) => {
  const core = createReadyCore();
  finishEncode(core);
  core.handle({tag: 'endpointDisconnected', endpoint: 'desk-1'}, 30);
  const {commands, attempt} = sendEvent(
    core,
    {tag: 'endpointConnected', endpoint: 'desk-1', incarnation: '2'},
    40,
  );
  t.is(attempt, null);
  const failure = commands.find(({tag}) => tag === 'fail');
  t.is(failure?.tag === 'fail' && failure.error.outcome, 'unknown');
});

test('an action whose frame was never written may be sent again', (t) => {
  const core = createReadyCore();
  const {attempt} = finishEncode(core);
  core.handle(
    {
      tag: 'attemptNotSent',
      endpoint: 'desk-1',
      attemptId: attempt!.attemptId,
    },
    25,
  );
  t.false(core.state.requests.get('r')!.actionMayHaveRun);
  const again = sendEvent(core, {tag: 'ticked'}, 100);
  t.is(again.endpoint, 'desk-1');
});

test('an action that times out is unknown until its tombstone is written', (t) => {
  const core = createReadyCore();
  const {attempt} = finishEncode(core);
  const {requestId, stageIndex, attemptId} = attempt!;
  const late = core.handle({tag: 'ticked'}, 950);
  t.true(
    late.some(
      (command) => command.tag === 'send' && command.frame.tag === 'tombstone',
    ),
  );
  const ended = core.handle(
    {
      tag: 'frameArrived',
      endpoint: 'desk-1',
      frame: {
        tag: 'tombstoned',
        requestId,
        stageIndex,
        attemptId,
        state: 'neverRan',
      },
    },
    960,
  );
  const failure = ended.find(({tag}) => tag === 'fail');
  t.is(failure?.tag === 'fail' && failure.error.outcome, 'notRun');
});

test('a result of another attempt or endpoint is ignored', (t) => {
  const core = createReadyCore();
  const {attempt, endpoint} = sendEvent(core, ARRIVAL, 10);
  const other = endpoint === 'encoder-1' ? 'encoder-2' : 'encoder-1';
  const {requestId, stageIndex, attemptId} = attempt!;
  const commands = core.handle(
    {
      tag: 'frameArrived',
      endpoint: other,
      frame: {
        tag: 'result',
        requestId,
        stageIndex,
        attemptId,
        output: {kind: 'encode', vector: [2]},
        queuedMilliseconds: 0,
        backendMilliseconds: 1,
      },
    },
    20,
  );
  t.deepEqual(commands, []);
  t.is(core.state.requests.get('r')!.stageIndex, 0);
});
