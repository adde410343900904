import test from 'ava';
import {emptyHomeRecord} from '../emptyHomeRecord.ts';
import {planHomes} from '../planHomes.ts';
import type {HomePlanOptions} from '../homePlanOptions.ts';

const OPTIONS: HomePlanOptions = {
  pool: 'desks',
  partitionCount: 1,
  name: 'desk-1',
  incarnation: 'a',
  slot: 'slot-1',
  halves: [null],
  getOwnerLookup: () => () => 'desk-1',
  leaving: false,
  assignmentSequence: 0,
  wallNow: 1000,
  monotonicNow: 0,
  intervalMilliseconds: 300,
  maximumSkewMilliseconds: 20,
  getAcceptedUntil: () => 0,
  getPendingRelease: () => undefined,
};

const first = planHomes(emptyHomeRecord, OPTIONS)!;

test('a successor starts where its predecessor ends', (t) => {
  t.is(first.intervals[0]!.until, 1300);
  const early: HomePlanOptions = {
    ...OPTIONS,
    name: 'desk-2',
    slot: 'slot-2',
    getOwnerLookup: () => () => 'desk-2',
    wallNow: 1299,
  };
  t.is(planHomes(first, early), null);
  const second = planHomes(first, {...early, wallNow: 1300})!;
  t.like(second.intervals[0], {home: 'desk-2', from: 1300, epoch: 2});
  t.like(second.earlier[0], {home: 'desk-1', until: 1300});
});

test('a release never ends before the issue time of a key that has run', (t) => {
  const released = planHomes(first, {
    ...OPTIONS,
    leaving: true,
    getAcceptedUntil: () => 1201,
  })!;
  t.like(released.intervals[0], {until: 1201, released: true});
});

test('a retried release keeps the end of the first write', (t) => {
  const released = planHomes(first, {
    ...OPTIONS,
    wallNow: 1100,
    getPendingRelease: () => 1050,
  })!;
  t.like(released.intervals[0], {until: 1050, released: true});
});

test('a process in the same slot starts above its predecessor without a wall clock', (t) => {
  const restarted: HomePlanOptions = {
    ...OPTIONS,
    incarnation: 'b',
    wallNow: 10,
    monotonicNow: 70,
  };
  const ended = planHomes(first, restarted)!;
  t.like(ended.intervals[0], {until: 1000 + 70 + 20 + 1, released: true});
  const taken = planHomes(ended, restarted)!;
  t.like(taken.intervals[0], {incarnation: 'b', from: 1091, epoch: 2});
});

test('a process in another slot waits until the interval ends', (t) => {
  for (const slot of ['slot-2', '']) {
    const replaced: HomePlanOptions = {...OPTIONS, incarnation: 'b', slot};
    t.is(planHomes(first, {...replaced, monotonicNow: 70}), null);
    const taken = planHomes(first, {...replaced, wallNow: 1300})!;
    t.is(taken.intervals[0]!.from, 1300);
  }
  const withoutSlot = {...first.intervals[0]!, slot: ''};
  const record = {...first, intervals: [withoutSlot]};
  const unknownSlot: HomePlanOptions = {...OPTIONS, incarnation: 'b', slot: ''};
  t.is(planHomes(record, unknownSlot), null);
});

test('an extension after a backward clock step does not lower the ceiling', (t) => {
  const extended = planHomes(first, {
    ...OPTIONS,
    intervalMilliseconds: 3000,
    wallNow: 900,
    monotonicNow: 50,
  })!;
  t.true(extended.intervals[0]!.anchor.issueTime >= 1050);
  t.is(extended.intervals[0]!.anchor.monotonic, 50);
});

test('a home that observes a move ends its interval and takes a new one', (t) => {
  const moved: HomePlanOptions = {
    ...OPTIONS,
    assignmentSequence: 7,
    wallNow: 1010,
  };
  const ended = planHomes(first, moved)!;
  t.like(ended.intervals[0], {until: 1010, released: true});
  const taken = planHomes(ended, moved)!;
  t.like(taken.intervals[0], {from: 1010, assignmentSequence: 7});
  t.is(planHomes(taken, {...OPTIONS, leaving: true}), null);
});
