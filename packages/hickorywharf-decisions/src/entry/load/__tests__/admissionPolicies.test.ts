import test from 'ava';
import {createConnectedCore} from '../../__tests__/createConnectedCore.ts';
import type {EntryEvent} from '../../entryEvent.ts';

const KEYS = {small: 'a'.repeat(64), large: 'b'.repeat(64)};
const SERVICE_MILLISECONDS = 100;
const SLOTS = 2;
const DOCUMENTS = [
  ...Object.entries(KEYS).map(([name, keyHash]) => ({
    kind: 'account',
    schemaVersion: 1,
    name,
    keyHash,
    requestsPerSecond: 1000,
  })),
  {
    kind: 'pipeline',
    schemaVersion: 1,
    name: 'encode-only',
    deadlineMilliseconds: 1100,
    stages: [{name: 'encode', kind: 'encode', pool: 'encoders'}],
  },
  {kind: 'endpoint', schemaVersion: 1, name: 'encoder-1', pool: 'encoders'},
];

function createCore(queued: number) {
  const endpoint = 'encoder-1';
  const core = createConnectedCore({
    core: {
      routingPolicy: 'cost',
      policies: {admission: 'estimate', ejection: 'none', hedging: 'none'},
    },
    documents: DOCUMENTS,
    endpoints: [endpoint],
  });
  const {serviceMilliseconds} = core.state.load;
  serviceMilliseconds.set('pool/encoders', SERVICE_MILLISECONDS);
  serviceMilliseconds.set('encode-only/0', SERVICE_MILLISECONDS);
  const frame = {
    tag: 'heartbeat',
    leaving: false,
    load: {queued, running: SLOTS, capacity: SLOTS},
    configurationSequence: 1,
  } as const;
  core.handle({tag: 'frameArrived', endpoint, frame}, 0);
  return core;
}

function arrive(
  core: ReturnType<typeof createCore>,
  requestId: string,
  account: keyof typeof KEYS,
) {
  const event: EntryEvent = {
    tag: 'requestArrived',
    requestId,
    pipelineName: 'encode-only',
    keyHash: KEYS[account],
    input: {text: 'x'},
    idempotencyKey: null,
    bodyDigest: null,
    deadlineMilliseconds: null,
    traceparent: null,
  };
  return core.handle(event, 1);
}

test('a request that cannot be answered in time is refused at once as not run', (t) => {
  const [command, ...others] = arrive(createCore(100), 'r', 'small');
  t.is(others.length, 0);
  if (command?.tag !== 'fail') return t.fail('was not refused');
  t.is(command.error.outcome, 'notRun');
  if (command.error.tag !== 'overloaded') return t.fail(command.error.tag);
  // 100 queued requests take 50 rounds of 2 slots, 100 milliseconds each.
  t.is(command.error.retryAfterSeconds, 5);
});

test('a request that can be answered in time is sent', (t) => {
  const commands = arrive(createCore(4), 'r', 'small');
  t.deepEqual(
    commands.map(({tag}) => tag),
    ['send'],
  );
});

test('an account over its fair share is refused before others', (t) => {
  const core = createCore(6);
  const {accounts} = core.state.load;
  const row = {arrivalsAt: 1, weight: 1, allowance: 1000, allowanceAt: 1};
  accounts.set('large', {...row, arrivals: 20});
  accounts.set('small', {...row, arrivals: 2});
  t.is(arrive(core, 'large', 'large')[0]?.tag, 'fail');
  t.is(arrive(core, 'small', 'small')[0]?.tag, 'send');
});
