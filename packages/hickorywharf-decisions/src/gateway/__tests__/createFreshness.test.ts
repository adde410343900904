import test from 'ava';
import {createFreshness} from '../createFreshness.ts';

test('the age is infinite before the first read', (t) => {
  t.is(createFreshness().getAge({monotonic: 0, wall: 0}), Infinity);
});

test('time in which the instance was suspended counts', (t) => {
  const freshness = createFreshness();
  freshness.recordRead({monotonic: 100, wall: 1000});
  t.is(freshness.getAge({monotonic: 200, wall: 8000}), 7000);
});

test('a wall clock that is set back does not reduce the age', (t) => {
  const freshness = createFreshness();
  freshness.recordRead({monotonic: 100, wall: 10_000});
  t.is(freshness.getAge({monotonic: 4100, wall: 2000}), 4000);
});

test('a read that was sent earlier but ends later changes nothing', (t) => {
  const freshness = createFreshness();
  freshness.recordRead({monotonic: 500, wall: 500});
  freshness.recordRead({monotonic: 100, wall: 100});
  t.is(freshness.getAge({monotonic: 600, wall: 600}), 100);
});
