import test from 'ava';
import {planHomes} from '../planHomes.ts';

const OPTIONS = {
  pool: 'desks',
  parts: 1,
  name: 'desk-1',
  incarnation: 'a',
  members: ['desk-1'],
  leaving: false,
  wallNow: 1000,
  lengthMilliseconds: 300,
  latestIssueTimes: new Map<number, number>(),
};

test('a successor starts where its predecessor ends', (t) => {
  const first = planHomes({intervals: []}, OPTIONS)!;
  t.is(first.intervals[0]!.until, 1300);
  const early = {
    ...OPTIONS,
    name: 'desk-2',
    members: ['desk-2'],
    wallNow: 1299,
  };
  t.is(planHomes(first, early), null);
  const second = planHomes(first, {...early, wallNow: 1300})!;
  t.is(second.intervals[0]!.home, 'desk-2');
  t.is(second.intervals[0]!.from, 1300);
  t.is(second.intervals[0]!.epoch, 2);
});

test('a release never ends before a key that has run', (t) => {
  const first = planHomes({intervals: []}, OPTIONS)!;
  const released = planHomes(first, {
    ...OPTIONS,
    leaving: true,
    latestIssueTimes: new Map([[0, 1200]]),
  })!;
  t.is(released.intervals[0]!.until, 1201);
  t.true(released.intervals[0]!.released);
});
