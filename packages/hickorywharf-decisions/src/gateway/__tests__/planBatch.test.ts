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
    isBegun: false,
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

test('timely groups go before late ones, the more urgent kind first', (t) => {
  t.deepEqual(
    plan([
      group('late', {targetAt: 100}),
      group('timely', {priority: 2}),
      group('urgent', {priority: 0, targetAt: 2000}),
    ]),
    ['urgent 8', 'timely 8', 'late 8'],
  );
});

test('a begun group goes first even if it is late', (t) => {
  t.deepEqual(
    plan([
      group('fresh'),
      group('begun', {isBegun: true, targetAt: 0, count: 3}),
    ]),
    ['begun 3', 'fresh 8'],
  );
});

test('a group that does not fit whole is left while little waits', (t) => {
  t.deepEqual(plan([group('a', {count: 14}), group('b', {count: 10})]), [
    'a 14',
    'b 10',
  ]);
  t.deepEqual(plan([group('a', {count: 7})], {batch: 7}), ['a 7']);
});

test('a group is cut only while more waits than a call holds', (t) => {
  t.deepEqual(plan([group('a', {count: 20}), group('b', {count: 20})]), [
    'a 20',
    'b 4',
  ]);
});

test('a group larger than a call is cut', (t) => {
  t.deepEqual(plan([group('a', {count: 30})]), ['a 24']);
});

test('no more goes into a call than the endpoint has memory for', (t) => {
  const shares = plan([group('a'), group('b')], {roomBytes: 500_000});
  t.deepEqual(shares, ['a 8']);
});

test('small results use the memory that large ones do not fit in', (t) => {
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

test('a group with time to spare is left to an endpoint near its data', (t) => {
  const groups = [group('far', {failureDomain: 'b', targetAt: 5000})];
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}), []);
  t.deepEqual(plan(groups), ['far 8']);
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}, 4700), [
    'far 8',
  ]);
});

test('while a lot waits no endpoint idles, and near groups go first', (t) => {
  const many = Array.from({length: 12}, (_value, index) =>
    group(`far-${index}`, {failureDomain: 'b', targetAt: 5000}),
  );
  const groups = [...many, group('near', {failureDomain: 'a', targetAt: 5400})];
  t.deepEqual(plan(groups, {otherDomainWaits: new Map([['b', 100]])}), [
    'near 8',
    'far-0 8',
    'far-1 8',
  ]);
});
