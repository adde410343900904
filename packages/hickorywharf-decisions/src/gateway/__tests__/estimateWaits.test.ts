import test from 'ava';
import {estimateWaits} from '../estimateWaits.ts';
import {decideAdmission} from '../decideAdmission.ts';
import type {PieceGroup} from '../pieceGroup.ts';

const CAPACITY = {
  endpoints: 2,
  batch: 10,
  callMilliseconds: 100,
  untilFreeMilliseconds: 50,
};

function group(changes: Partial<PieceGroup> = {}): PieceGroup {
  return {
    count: 10,
    isStarted: false,
    priority: 1,
    targetAt: 10_000,
    deadlineAt: 20_000,
    resultBytes: 0,
    workMilliseconds: 10,
    failureDomain: null,
    ...changes,
  };
}

test('a timely group waits only for started and more urgent ones', (t) => {
  const {waits} = estimateWaits(
    [group({priority: 0}), group({priority: 2}), group({isStarted: true})],
    0,
    CAPACITY,
  );
  t.deepEqual(waits.timelyMilliseconds, [250, 250, 350, 350]);
  t.is(waits.totalMilliseconds, 350);
});

test('late groups do not delay timely ones', (t) => {
  const late = group({targetAt: 0});
  const {waits} = estimateWaits([late, late], 0, CAPACITY);
  t.deepEqual(waits.timelyMilliseconds, [50, 50, 50, 50]);
  t.is(waits.totalMilliseconds, 250);
});

test('late groups that would miss their deadline are infeasible', (t) => {
  const late = {targetAt: 0, deadlineAt: 400};
  const groups = [group(late), group(late), group(late), group(late)];
  const {infeasible} = estimateWaits(groups, 0, CAPACITY);
  t.deepEqual(infeasible, [groups[3]]);
});

test('without an endpoint the wait exceeds every timeout', (t) => {
  const {waits} = estimateWaits([], 0, {...CAPACITY, endpoints: 0});
  t.true(waits.totalMilliseconds >= 60_000);
});

test('a call is admitted as timely, or else as late, or refused', (t) => {
  const decide = (timely: number, total: number) =>
    decideAdmission({
      forecast: {timelyMilliseconds: timely, totalMilliseconds: total},
      targetLeftMilliseconds: 1000,
      timeLeftMilliseconds: 6000,
    });
  t.is(decide(900, 9000).tag, 'timely');
  t.is(decide(1100, 4000).tag, 'late');
  t.is(decide(1100, 5000).tag, 'refused');
});

test('a refused call is admitted when retried after the given time', (t) => {
  for (const [total, timeLeft] of [
    [5000, 6000],
    [4300, 6000],
    [11_000, 15_000],
  ] as const) {
    const decide = (elapsed: number) =>
      decideAdmission({
        forecast: {
          timelyMilliseconds: 9000,
          totalMilliseconds: Math.max(0, total - elapsed),
        },
        targetLeftMilliseconds: 1000 - elapsed,
        timeLeftMilliseconds: timeLeft - elapsed,
      });
    const refused = decide(0);
    if (refused.tag !== 'refused') return t.fail();
    t.is(decide(refused.retryAfterMilliseconds + 1).tag, 'late');
    t.is(decide(refused.retryAfterMilliseconds - 20).tag, 'refused');
  }
});

test('silent endpoints delay groups that arrive, but make no waiting group infeasible', (t) => {
  const late = group({targetAt: 0, deadlineAt: 400});
  const {waits, infeasible} = estimateWaits([late], 0, {
    ...CAPACITY,
    overdueMilliseconds: 1000,
  });
  t.deepEqual(waits.timelyMilliseconds, [1050, 1050, 1050, 1050]);
  t.is(waits.totalMilliseconds, 1150);
  t.deepEqual(infeasible, []);
});
