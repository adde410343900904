import test from 'ava';
import {createConnectedCore} from '../../__tests__/createConnectedCore.ts';

const KEY_HASH = 'a'.repeat(64);
const ENDPOINTS = ['encoder-1', 'encoder-2', 'encoder-3', 'encoder-4'];
const USUAL_MILLISECONDS = 20;
const DOCUMENTS = [
  {
    kind: 'account',
    schemaVersion: 1,
    name: 'desk',
    keyHash: KEY_HASH,
    requestsPerSecond: 1000,
  },
  {
    kind: 'pipeline',
    schemaVersion: 1,
    name: 'encode-only',
    deadlineMilliseconds: 2000,
    stages: [{name: 'encode', kind: 'encode', pool: 'encoders'}],
  },
  ...ENDPOINTS.map((name) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name,
    pool: 'encoders',
  })),
];

function createCore() {
  return createConnectedCore({
    core: {
      routingPolicy: 'cost',
      policies: {admission: 'estimate', ejection: 'slowness', hedging: 'late'},
    },
    documents: DOCUMENTS,
    endpoints: ENDPOINTS,
  });
}

type Core = ReturnType<typeof createCore>;
type Commands = ReturnType<Core['handle']>;

function getAttempt(commands: Commands) {
  for (const command of commands) {
    if (command.tag !== 'send' || command.frame.tag !== 'attempt') continue;
    const {requestId, stageIndex, attemptId} = command.frame;
    const key = {requestId, stageIndex, attemptId};
    return {endpoint: command.endpoint, key};
  }
  return null;
}

function arrive(core: Core, requestId: string, now: number) {
  const commands = core.handle(
    {
      tag: 'requestArrived',
      requestId,
      pipelineName: 'encode-only',
      keyHash: KEY_HASH,
      input: {text: requestId},
      idempotencyKey: null,
      bodyDigest: null,
      deadlineMilliseconds: null,
      traceparent: null,
    },
    now,
  );
  return getAttempt(commands)!;
}

function finish(
  core: Core,
  {endpoint, key}: ReturnType<typeof arrive>,
  now: number,
): Commands {
  const frame = {
    tag: 'result',
    ...key,
    output: {kind: 'encode', vector: [1]},
    queuedMilliseconds: 0,
    backendMilliseconds: USUAL_MILLISECONDS,
  } as const;
  return core.handle({tag: 'frameArrived', endpoint, frame}, now);
}

test('a late stage is hedged once, and the slower attempt is cancelled', (t) => {
  const core = createCore();
  const known = arrive(core, 'known', 0);
  finish(core, known, USUAL_MILLISECONDS);
  const late = arrive(core, 'late', 100);
  t.is(getAttempt(core.handle({tag: 'ticked'}, 120)), null);
  const hedge = getAttempt(core.handle({tag: 'ticked'}, 300));
  t.truthy(hedge);
  t.not(hedge!.endpoint, late.endpoint);
  const commands = finish(core, hedge!, 320);
  t.true(commands.some(({tag}) => tag === 'answer'));
  const cancelled = commands.flatMap((command) =>
    command.tag === 'send' && command.frame.tag === 'cancel'
      ? [command.frame.attemptId]
      : [],
  );
  t.deepEqual(cancelled, [late.key.attemptId]);
});

test('hedges stop when their budget is spent', (t) => {
  const core = createCore();
  finish(core, arrive(core, 'known', 0), USUAL_MILLISECONDS);
  core.state.load.hedgeBudget = 0;
  arrive(core, 'late', 100);
  t.is(getAttempt(core.handle({tag: 'ticked'}, 300)), null);
});
