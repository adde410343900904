import test from 'ava';
import {forecastStage} from '../forecastStage.ts';
import {forecastCall} from '../forecastCall.ts';
import {getRemainingTimes} from '../getRemainingTimes.ts';

const CAPACITY = {batch: 10, callMilliseconds: 100, pieceMilliseconds: 7};

/** A stage with 200 ms of work and the given waits. */
const stage = (after: readonly number[], timely = 0, total = timely) =>
  forecastStage({
    after,
    capacity: CAPACITY,
    waits: {timelyMilliseconds: [timely], totalMilliseconds: total},
    priority: 0,
  });

test('the waits and work of a chain add up, whichever stage waits', (t) => {
  for (const waits of [
    [300, 0, 0],
    [0, 300, 0],
    [0, 0, 300],
  ] as const) {
    const stages = waits.map((wait, position) =>
      stage(position === 0 ? [] : [position - 1], wait, 2 * wait),
    );
    t.deepEqual(forecastCall(stages, 50), {
      timelyMilliseconds: 950,
      totalMilliseconds: 1250,
    });
  }
});

test('of parallel stages the critical path counts', (t) => {
  const stages = [stage([]), stage([]), stage([1]), stage([0, 2])];
  t.is(forecastCall(stages, 50).timelyMilliseconds, 650);
  t.deepEqual(getRemainingTimes(stages, 50), [250, 450, 250, 50]);
});

test('a skipped stage takes no time', (t) => {
  const waits = {timelyMilliseconds: [900], totalMilliseconds: 900};
  const skipped = forecastStage({
    after: [],
    capacity: null,
    waits,
    priority: 0,
  });
  t.is(forecastCall([skipped, stage([0])], 50).totalMilliseconds, 250);
  t.is(forecastCall([], 50).timelyMilliseconds, 50);
});

test('a priority beyond the list has the last wait', (t) => {
  const waits = {timelyMilliseconds: [10, 20], totalMilliseconds: 90};
  const getWait = (priority: number) =>
    forecastStage({after: [], capacity: CAPACITY, waits, priority})
      .timelyWaitMilliseconds;
  t.deepEqual([0, 1, 7].map(getWait), [10, 20, 20]);
});
