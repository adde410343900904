import test from 'ava';
import type {PieceGroup} from '../pieceGroup.ts';
import {planBatch} from '../planBatch.ts';

interface NamedGroup extends PieceGroup {
  readonly name: string;
}

function group(name: string, changes: Partial<PieceGroup> = {}): NamedGroup {
  return {
    name,
    count: 8,
    isStarted: false,
    priority: 1,
    targetAt: 1000,
    deadlineAt: 6000,
    resultBytes: 60_000,
    workMilliseconds: 5,
    failureDomain: null,
    ...changes,
  };
}

const ENDPOINT = {
  batch: 24,
  callMilliseconds: 150,
  roomBytes: 4_000_000,
  failureDomain: 'a',
  otherDomainWaits: new Map<string, number>(),
};

const plan = (
  groups: readonly NamedGroup[],
  changes: Partial<typeof ENDPOINT> = {},
  now = 0,
) =>
  planBatch(groups, now, {...ENDPOINT, ...changes}).map(
    ({group: {name}, count}) => `${name} ${count}`,
  );

test('timely groups go before late ones, the more urgent first', (t) => {
  t.deepEqual(
    plan([
      group('late', {targetAt: 100}),
      group('timely', {priority: 2}),
      group('urgent', {priority: 0, targetAt: 2000}),
    ]),
    ['urgent 8', 'timely 8', 'late 8'],
  );
});

test('a started group goes first even if it is late', (t) => {
  t.deepEqual(
    plan([
      group('fresh'),
      group('started', {isStarted: true, targetAt: 0, count: 3}),
    ]),
    ['started 3', 'fresh 8'],
  );
});

test('a group that does not fit whole waits while little is waiting', (t) => {
  t.deepEqual(plan([group('a', {count: 14}), group('b', {count: 10})]), [
    'a 14',
    'b 10',
  ]);
  t.deepEqual(plan([group('a', {count: 7})], {batch: 7}), ['a 7']);
});

test('a group is split while more waits than a call holds', (t) => {
  t.deepEqual(plan([group('a', {count: 20}), group('b', {count: 20})]), [
    'a 20',
    'b 4',
  ]);
});

test('a group larger than a call is split', (t) => {
  t.deepEqual(plan([group('a', {count: 30})]), ['a 24']);
});

test('a call holds no more than the endpoint has free memory for', (t) => {
  const shares = plan([group('a'), group('b')], {roomBytes: 500_000});
  t.deepEqual(shares, ['a 8']);
});

test('small results use memory that is too small for large ones', (t) => {
  t.deepEqual(
    plan(
      [
        group('large', {count: 2, resultBytes: 3_000_000, priority: 0}),
        group('small', {count: 1, resultBytes: 8000}),
      ],
      {roomBytes: 1_000_000},
    ),
    ['small 1'],
  );
});

test('a group with slack is left to an endpoint in its failure domain', (t) => {
  const groups = [group('remote', {failureDomain: 'b', targetAt: 5000})];
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}), []);
  t.deepEqual(plan(groups), ['remote 8']);
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}, 4700), [
    'remote 8',
  ]);
});

test('with a long backlog remote groups are sent after local ones', (t) => {
  const many = Array.from({length: 12}, (_value, index) =>
    group(`remote-${index}`, {failureDomain: 'b', targetAt: 5000}),
  );
  const groups = [
    ...many,
    group('local', {failureDomain: 'a', targetAt: 5400}),
  ];
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}), [
    'local 8',
    'remote-0 8',
    'remote-1 8',
  ]);
});
