import test from 'ava';
import {createEndpointCore} from '../../createEndpointCore.ts';

const SLOTS = 4;

function createCore() {
  return createEndpointCore({
    name: 'engine-1',
    incarnation: '1',
    slots: SLOTS,
    queueOrder: 'fairShortest',
    maximumQueueLength: 1000,
    retentionMilliseconds: 1000,
    retentionBytes: 1 << 20,
    homePartitionCount: 4,
    maximumSkewMilliseconds: Number.MAX_SAFE_INTEGER,
  });
}

type Core = ReturnType<typeof createCore>;

function send(core: Core, attemptId: string, account: string, tokens: number) {
  const commands = core.handle(
    {
      tag: 'frameArrived',
      peer: 'entry-1',
      frame: {
        tag: 'attempt',
        requestId: attemptId,
        stageIndex: 0,
        attemptId,
        kind: 'generate',
        pool: 'engines',
        idempotent: true,
        half: null,
        account,
        accountWeight: 1,
        remainingMilliseconds: 60_000,
        laterMilliseconds: 0,
        input: {text: '', maximumTokens: tokens},
        idempotencyKey: null,
        bodyDigest: null,
        traceparent: null,
      },
    },
    0,
  );
  return getStarted(commands);
}

function getStarted(commands: ReturnType<Core['handle']>): string[] {
  return commands.flatMap((command) =>
    command.tag === 'startBackend' ? [command.attempt.attemptId] : [],
  );
}

function finish(core: Core, attemptId: string): string[] {
  const output = {
    kind: 'generate',
    tokens: [],
    tokenCount: 1,
    cachedTokens: 0,
  } as const;
  return getStarted(
    core.handle({tag: 'backendFinished', attemptId, output}, 0),
  );
}

test('an account that floods the queue does not starve another', (t) => {
  const core = createCore();
  const running: string[] = [];
  for (let count = 0; count < 200; count += 1) {
    running.push(...send(core, `large-${count}`, 'large', 8));
  }
  for (let count = 0; count < 20; count += 1) {
    running.push(...send(core, `small-${count}`, 'small', 8));
  }
  const ended: string[] = [];
  while (ended.length < 60) {
    const attemptId = running.shift()!;
    ended.push(attemptId);
    running.push(...finish(core, attemptId));
  }
  const small = ended.filter((name) => name.startsWith('small'));
  t.true(small.length >= 18, `${small.length} of 20 among the first 60`);
});

test('long work leaves a slot free for short work', (t) => {
  const core = createCore();
  t.deepEqual(send(core, 'short-1', 'a', 4), ['short-1']);
  for (let count = 0; count < SLOTS; count += 1) {
    send(core, `long-${count}`, 'a', 100);
  }
  t.deepEqual(finish(core, 'short-1'), []);
  t.deepEqual(send(core, 'short-2', 'a', 4), ['short-2']);
});
