import test from 'ava';
import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import {checkChange} from '../findings/checkChange.ts';
import {keepUnknownFields} from '../keepUnknownFields.ts';
import {previewChanges} from '../previewChanges.ts';

type Document = Readonly<Record<string, unknown>> & {
  readonly kind: string;
  readonly name: string;
};

const PIPELINE: Document = {
  kind: 'pipeline',
  schemaVersion: 1,
  name: 'question',
  deadlineMilliseconds: 2000,
  stages: [
    {name: 'rerank', kind: 'rerank', pool: 'rerankers'},
    {name: 'book', kind: 'call', pool: 'desks', idempotent: false},
  ],
};

function createEndpoint(name: string, pool: string, half?: string): Document {
  return half === undefined
    ? {kind: 'endpoint', schemaVersion: 1, name, pool}
    : {kind: 'endpoint', schemaVersion: 2, name, pool, half};
}

function createAccount(name: string, half: string, keyHash = name): Document {
  return {
    kind: 'account',
    schemaVersion: 2,
    name,
    keyHash: keyHash.slice(0, 1).repeat(64),
    requestsPerSecond: 1,
    half,
  };
}

function change(
  before: ReturnType<typeof createConfigurationLog>,
  documents: readonly Document[],
) {
  const changes = documents.map((document) => {
    const {kind, name} = document;
    return {kind, name, document};
  });
  const after = previewChanges(before, changes);
  const messages = checkChange(before, after).map(
    ({severity, record, message}) => `${severity} ${record}: ${message}`,
  );
  return {after, messages};
}

function createInitialLog() {
  return change(createConfigurationLog(), [
    PIPELINE,
    createEndpoint('reranker-1', 'rerankers'),
    createEndpoint('desk-1', 'desks'),
    createEndpoint('desk-2', 'desks'),
  ]).after;
}

test('a half that loses its only reranker gives a warning', (t) => {
  const {messages} = change(createInitialLog(), [
    createAccount('a', 'town'),
    createAccount('b', 'county'),
    createEndpoint('reranker-1', 'rerankers', 'town'),
  ]);
  t.deepEqual(messages, [
    "warning pipeline/question: half county loses its only reranker, 'reranker-1' of pool 'rerankers'",
  ]);
});

test('a drain of the last endpoint gives a warning', (t) => {
  const {messages} = change(createInitialLog(), [
    createAccount('a', 'town'),
    {...createEndpoint('reranker-1', 'rerankers'), draining: true},
  ]);
  t.is(messages.length, 1);
  t.regex(messages[0]!, /half town loses its only reranker/);
});

test('a moved home of non-idempotent actions gives a warning', (t) => {
  const {messages} = change(createInitialLog(), [
    createEndpoint('desk-1', 'desks', 'town'),
  ]);
  t.regex(messages.join(), /endpoint\/desk-1: moves from shared to town/);
});

test('an unknown reference is reported with the most similar name', (t) => {
  const route = {
    kind: 'route',
    schemaVersion: 1,
    name: 'questions',
    pipeline: 'qestion',
  };
  const pipeline = {
    ...PIPELINE,
    name: 'other',
    stages: [{name: 'rerank', kind: 'rerank', pool: 'reranker'}],
  };
  t.deepEqual(change(createInitialLog(), [route, pipeline]).messages, [
    "error route/questions: pipeline: no pipeline is named 'qestion'; did you mean 'question'?",
    "warning pipeline/other: stage 'rerank': no endpoint is in pool 'reranker'; did you mean 'rerankers'?",
  ]);
});

test('two accounts with the same key give an error', (t) => {
  const {messages} = change(createInitialLog(), [
    createAccount('a1', 'town'),
    createAccount('a2', 'town'),
  ]);
  t.regex(
    messages.join(),
    /error account\/a2: keyHash: account 'a1' has the same key/,
  );
});

test('a return to schemaVersion 1 reports which half is lost', (t) => {
  const split = change(createInitialLog(), [
    createEndpoint('desk-1', 'desks', 'town'),
  ]).after;
  const {messages} = change(split, [createEndpoint('desk-1', 'desks')]);
  t.regex(messages.join(), /schemaVersion 1.*half town is lost/);
});

test('a record of a newer schema leaves the last readable one active', (t) => {
  const newer = {...createEndpoint('desk-1', 'tables'), schemaVersion: 3};
  const {after, messages} = change(createInitialLog(), [newer]);
  t.is(after.getView().endpoints.get('desk-1')?.pool, 'desks');
  t.regex(messages.join(), /version 3 is newer than 2/);
  // A process that receives the snapshot reads the same record.
  const copy = createConfigurationLog();
  copy.applySnapshot(after.getSnapshot());
  t.is(copy.getView().endpoints.get('desk-1')?.pool, 'desks');
});

test('fields that this version does not know are kept', (t) => {
  const active = {...createEndpoint('desk-1', 'desks'), rack: 7};
  const declared = createEndpoint('desk-1', 'tables');
  t.deepEqual(keepUnknownFields(declared, active), {...declared, rack: 7});
  const cleared = {...declared, rack: null};
  t.deepEqual(keepUnknownFields(cleared, active), cleared);
});

test('a drain is kept by a declaration that does not mention it', (t) => {
  const declared = createEndpoint('desk-1', 'desks');
  const active = {...declared, draining: true};
  t.deepEqual(keepUnknownFields(declared, active), active);
});
