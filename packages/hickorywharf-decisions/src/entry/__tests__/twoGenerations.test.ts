import type {StageOutput} from 'hickorywharf-types/stageOutput';
import test from 'ava';
import type {EntryCommand} from '../entryCommand.ts';
import {createConnectedCore} from './createConnectedCore.ts';

const KEY_HASH = 'a'.repeat(64);
const ENGINE = 'engine-1';
const GENERATE = {kind: 'generate', pool: 'engines'};

function createCore() {
  return createConnectedCore({
    documents: [
      {kind: 'account', name: 'desk', keyHash: KEY_HASH, requestsPerSecond: 9},
      {
        kind: 'pipeline',
        name: 'draft',
        deadlineMilliseconds: 1000,
        stages: [
          {...GENERATE, name: 'draft'},
          {...GENERATE, name: 'review'},
        ],
      },
      {kind: 'endpoint', name: ENGINE, pool: 'engines'},
    ],
    endpoints: [ENGINE],
  });
}

type Core = ReturnType<typeof createCore>;

function findAttempt(commands: readonly EntryCommand[]) {
  const sent = commands.find(
    (command) => command.tag === 'send' && command.frame.tag === 'attempt',
  );
  if (sent?.tag !== 'send' || sent.frame.tag !== 'attempt') {
    throw new Error('no attempt was sent');
  }
  return sent.frame;
}

function generate(
  core: Core,
  attempt: ReturnType<typeof findAttempt>,
  tokens: readonly string[],
): EntryCommand[] {
  const {requestId, stageIndex, attemptId} = attempt;
  const key = {requestId, stageIndex, attemptId};
  const output: StageOutput = {
    kind: 'generate',
    tokens: [],
    tokenCount: tokens.length,
    cachedTokens: 0,
  };
  const frames = [
    {tag: 'tokens', ...key, position: 0, tokens},
    {
      tag: 'result',
      ...key,
      output,
      queuedMilliseconds: 0,
      backendMilliseconds: 1,
    },
  ] as const;
  return frames.flatMap((frame) =>
    core.handle({tag: 'frameArrived', endpoint: ENGINE, frame}, 2),
  );
}

test('the tokens of two generations of a pipeline are not mixed', (t) => {
  const core = createCore();
  const first = findAttempt(
    core.handle(
      {
        tag: 'requestArrived',
        requestId: 'r',
        pipelineName: 'draft',
        keyHash: KEY_HASH,
        input: {text: 'a reel'},
        idempotencyKey: null,
        bodyDigest: null,
        deadlineMilliseconds: null,
        traceparent: null,
      },
      1,
    ),
  );
  const afterFirst = generate(core, first, ['rough', 'draft']);
  t.false(afterFirst.some(({tag}) => tag === 'deliverTokens'));
  const second = findAttempt(afterFirst);
  t.deepEqual(second.input.continuation, []);
  t.deepEqual(second.input.documents, ['rough draft']);
  const afterSecond = generate(core, second, ['final']);
  const delivered = afterSecond.filter(({tag}) => tag === 'deliverTokens');
  t.deepEqual(delivered, [
    {tag: 'deliverTokens', requestId: 'r', position: 0, tokens: ['final']},
  ]);
  const answer = afterSecond.find((command) => command.tag === 'answer');
  const generations = answer?.outputs.map((output) =>
    output.kind === 'generate' ? output.tokens : [],
  );
  t.deepEqual(generations, [['rough', 'draft'], ['final']]);
});
