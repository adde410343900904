import test from 'ava';
import {forecastStage} from '../forecastStage.ts';
import {forecastCall} from '../forecastCall.ts';
import {getRemainingTimes} from '../getRemainingTimes.ts';

const CAPACITY = {batch: 10, callMilliseconds: 100, pieceMilliseconds: 7};

/** A stage of 200 ms with its waits. */
const stage = (after: readonly number[], timely = 0, total = timely) =>
  forecastStage({
    after,
    capacity: CAPACITY,
    waits: {timelyMilliseconds: [timely], totalMilliseconds: total},
    priority: 0,
  });

test('waits and work of a whole chain count, whichever stage waits', (t) => {
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

test('of stages beside one another the longest way counts', (t) => {
  const stages = [stage([]), stage([]), stage([1]), stage([0, 2])];
  t.is(forecastCall(stages, 50).timelyMilliseconds, 650);
  t.deepEqual(getRemainingTimes(stages, 50), [250, 450, 250, 50]);
});

test('a stage that is left out takes no time', (t) => {
  const waits = {timelyMilliseconds: [900], totalMilliseconds: 900};
  const leftOut = forecastStage({
    after: [],
    capacity: null,
    waits,
    priority: 0,
  });
  t.is(forecastCall([leftOut, stage([0])], 50).totalMilliseconds, 250);
  t.is(forecastCall([], 50).timelyMilliseconds, 50);
});

test('a priority without a figure of its own waits as the last one', (t) => {
  const waits = {timelyMilliseconds: [10, 20], totalMilliseconds: 90};
  const getWait = (priority: number) =>
    forecastStage({after: [], capacity: CAPACITY, waits, priority})
      .timelyWaitMilliseconds;
  t.deepEqual([0, 1, 7].map(getWait), [10, 20, 20]);
});
