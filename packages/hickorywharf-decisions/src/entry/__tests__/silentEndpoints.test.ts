import test from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import {createConnectedCore} from './createConnectedCore.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type Core = ReturnType<typeof createConnectedCore>;

const KEY_HASH = 'a'.repeat(64);
const DEADLINE_MILLISECONDS = 10_000;
const SILENCE_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 100;
const VECTOR = {kind: 'encode', vector: [1]} as const;

/** Creates an entry with a pipeline for each kind of stage, and its time. */
function createEntry(
  endpoints: readonly string[],
  core: Parameters<typeof createConnectedCore>[0]['core'] = {},
) {
  const created = createConnectedCore({
    core,
    endpoints,
    documents: [
      {
        kind: 'account',
        name: 'desk',
        keyHash: KEY_HASH,
        requestsPerSecond: 100,
      },
      ...(['generate', 'encode'] as const).map((kind) => ({
        kind: 'pipeline',
        name: kind,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        stages: [{name: kind, kind, pool: 'engines'}],
      })),
      ...endpoints.map((name) => ({kind: 'endpoint', name, pool: 'engines'})),
    ],
  });
  let now = 0;
  const commands: ReturnType<Core['handle']> = [];
  const feed = (event: Parameters<Core['handle']>[0]) =>
    void commands.push(...created.handle(event, now));
  const receive = (endpoint: string, frame: Frame) =>
    feed({tag: 'frameArrived', endpoint, frame});
  const sendHeartbeat = (endpoint: string, leaving = false) =>
    receive(endpoint, {
      tag: 'heartbeat',
      leaving,
      load: {queued: 0, running: 1, capacity: 8},
      configurationSequence: 1,
    });

  return {
    state: created.state,
    feed,
    receive,
    sendHeartbeat,
    /** Sends a request; returns its first attempt. */
    send(pipelineName: string) {
      feed({
        tag: 'requestArrived',
        requestId: 'r',
        pipelineName,
        keyHash: KEY_HASH,
        input: {text: 'a toy'},
        idempotencyKey: null,
        bodyDigest: null,
        deadlineMilliseconds: null,
        traceparent: null,
      });
      return this.getAttempts()[0]!;
    },
    /** Passes time in which only the named endpoints send heartbeats. */
    wait(milliseconds: number, responsive: readonly string[] = []) {
      const end = now + milliseconds;
      while (now < end) {
        now += STEP_MILLISECONDS;
        responsive.forEach((endpoint) => sendHeartbeat(endpoint));
        feed({tag: 'ticked'});
      }
    },
    getAttempts: () =>
      commands.flatMap((command) =>
        command.tag === 'send' && command.frame.tag === 'attempt'
          ? [{endpoint: command.endpoint, frame: command.frame}]
          : [],
      ),
    getTokens: () =>
      commands.flatMap((command) =>
        command.tag === 'deliverTokens' ? command.tokens : [],
      ),
    getRecoveries: () =>
      commands.flatMap((command) =>
        command.tag === 'send' && command.frame.tag === 'recover'
          ? [
              {
                endpoint: command.endpoint,
                fromPosition: command.frame.fromPosition,
              },
            ]
          : [],
      ),
    getEndings: () =>
      commands.flatMap((command) =>
        command.tag === 'answer' || command.tag === 'fail' ? [command.tag] : [],
      ),
  };
}

const getKey = ({requestId, stageIndex, attemptId}: AttemptFrame) => ({
  requestId,
  stageIndex,
  attemptId,
});

const createTokens = (
  frame: AttemptFrame,
  position: number,
  ...tokens: readonly string[]
): Frame => ({tag: 'tokens', ...getKey(frame), position, tokens});

const createResult = (frame: AttemptFrame, tokenCount = 0): Frame => ({
  tag: 'result',
  ...getKey(frame),
  output:
    frame.kind === 'encode'
      ? VECTOR
      : {kind: 'generate', tokens: [], tokenCount, cachedTokens: 0},
  queuedMilliseconds: 0,
  backendMilliseconds: 0,
});

type Entry = ReturnType<typeof createEntry>;

/** Ways in which an endpoint is silent for a while and then goes on. */
const SILENCES: Readonly<Record<string, (entry: Entry) => void>> = {
  'sends nothing': (entry) => entry.wait(SILENCE_MILLISECONDS),
  'loses its connection'(entry) {
    const endpoint = 'engine-1';
    entry.feed({tag: 'endpointDisconnected', endpoint});
    entry.wait(SILENCE_MILLISECONDS);
    entry.feed({tag: 'endpointConnected', endpoint, incarnation: '1'});
  },
};

for (const [silence, pass] of Object.entries(SILENCES)) {
  test(`a generation whose only endpoint leaves and ${silence} for 2 s is answered in full`, (t) => {
    const entry = createEntry(['engine-1']);
    const {endpoint, frame} = entry.send('generate');
    entry.receive(endpoint, createTokens(frame, 0, 'a'));
    entry.sendHeartbeat(endpoint, true);
    pass(entry);
    entry.sendHeartbeat(endpoint, true);
    entry.receive(endpoint, createTokens(frame, 1, 'b'));
    entry.receive(endpoint, createResult(frame, 2));
    t.deepEqual(entry.getTokens(), ['a', 'b']);
    t.deepEqual(entry.getEndings(), ['answer']);
    t.is(entry.getAttempts().length, 1);
  });
}

test('a generation that begins late at the only endpoint is not hedged', (t) => {
  const entry = createEntry(['engine-1'], {
    policies: {admission: 'none', ejection: 'none', hedging: 'late'},
  });
  entry.state.load.hedgeBudget = 5;
  entry.state.estimates.insert('generate/0', {milliseconds: 100, samples: 9});
  const {endpoint, frame} = entry.send('generate');
  entry.wait(SILENCE_MILLISECONDS, [endpoint]);
  entry.receive(endpoint, createTokens(frame, 0, 'a'));
  entry.receive(endpoint, createResult(frame, 1));
  t.deepEqual(entry.getTokens(), ['a']);
  t.deepEqual(entry.getEndings(), ['answer']);
  t.is(entry.getAttempts().length, 1);
});

/** How the endpoint answers that a stage of a silent one is sent to. */
const SECOND_ANSWERS: Readonly<Record<string, (frame: AttemptFrame) => Frame>> =
  {
    'fails with no retry left': (frame) => ({
      tag: 'failed',
      ...getKey(frame),
      outcome: 'unknown',
      conflict: false,
      message: 'status 500',
    }),
    'cannot finish in time': (frame) => ({
      tag: 'refused',
      ...getKey(frame),
      reason: 'cannotFinish',
      message: 'too late',
    }),
    'has no room': (frame) => ({
      tag: 'refused',
      ...getKey(frame),
      reason: 'queueFull',
      message: 'full',
    }),
  };

for (const [answer, createFrame] of Object.entries(SECOND_ANSWERS)) {
  test(`a stage whose endpoint was silent for 2 s is answered by it if the next one ${answer}`, (t) => {
    const entry = createEntry(['engine-1', 'engine-2']);
    const first = entry.send('encode');
    const other = first.endpoint === 'engine-1' ? 'engine-2' : 'engine-1';
    entry.state.retryBudget = 1;
    entry.wait(SILENCE_MILLISECONDS, [other]);
    const second = entry.getAttempts()[1]!;
    t.is(second.endpoint, other);
    entry.receive(other, createFrame(second.frame));
    t.deepEqual(entry.getEndings(), []);
    entry.receive(first.endpoint, createResult(first.frame));
    t.deepEqual(entry.getEndings(), ['answer']);
  });
}

for (const [answer, createFrame] of Object.entries(SECOND_ANSWERS)) {
  test(`a generation whose endpoint was silent for 2 s goes on there if the next one ${answer}`, (t) => {
    const entry = createEntry(['engine-1', 'engine-2']);
    const first = entry.send('generate');
    const other = first.endpoint === 'engine-1' ? 'engine-2' : 'engine-1';
    entry.receive(first.endpoint, createTokens(first.frame, 0, 'a'));
    entry.state.retryBudget = 1;
    entry.wait(SILENCE_MILLISECONDS, [other]);
    const second = entry.getAttempts()[1]!;
    t.is(second.endpoint, other);
    // It goes on before the second endpoint has answered.
    entry.receive(first.endpoint, createTokens(first.frame, 1, 'b'));
    entry.receive(other, createFrame(second.frame));
    t.deepEqual(entry.getRecoveries(), [
      {endpoint: first.endpoint, fromPosition: 1},
    ]);
    entry.receive(first.endpoint, createTokens(first.frame, 1, 'b'));
    entry.receive(first.endpoint, createResult(first.frame, 2));
    t.deepEqual(entry.getTokens(), ['a', 'b']);
    t.deepEqual(entry.getEndings(), ['answer']);
    t.is(entry.getAttempts().length, 2);
  });
}

test('a stage whose attempts are used up waits for a silent endpoint', (t) => {
  const entry = createEntry(['engine-1', 'engine-2']);
  entry.send('encode');
  const request = entry.state.requests.get('r')!;
  request.attemptsMade = ENTRY_LIMITS.maximumAttemptsPerStage;
  request.lastError = {
    tag: 'backendFailed',
    step: 'execute',
    peer: 'engine-2',
    outcome: 'unknown',
    message: 'status 500',
  };
  const {endpoint, frame} = entry.getAttempts()[0]!;
  entry.wait(SILENCE_MILLISECONDS, [
    endpoint === 'engine-1' ? 'engine-2' : 'engine-1',
  ]);
  t.deepEqual(entry.getEndings(), []);
  entry.receive(endpoint, createResult(frame));
  t.deepEqual(entry.getEndings(), ['answer']);
});
