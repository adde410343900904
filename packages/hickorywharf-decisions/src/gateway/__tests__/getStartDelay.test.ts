import test from 'ava';
import {getStartDelay} from '../getStartDelay.ts';

const stage = (
  milliseconds: number,
  after: readonly number[] = [],
  orderedMilliseconds: number | null = null,
) => ({milliseconds, after, orderedMilliseconds});

test('a stage parallel to a chain is started to end with it', (t) => {
  const stages = [stage(300), stage(200), stage(250, [1]), stage(250, [2])];
  t.is(getStartDelay(stages, 0), 700 - 300 - 60);
  t.is(getStartDelay(stages, 1), 0);
});

test('progress of the chain shortens the delay', (t) => {
  const chain = [stage(200, [], Infinity), stage(250, [1], 100)];
  t.is(getStartDelay([stage(300), ...chain, stage(250, [2])], 0), 40);
  t.is(getStartDelay([stage(400), ...chain, stage(250, [2])], 0), 0);
});

test('the delay leaves time for the stages that read the result', (t) => {
  const stages = [stage(100), stage(200, [0]), stage(500)];
  t.is(getStartDelay(stages, 0), 500 - 300 - 60);
  t.is(getStartDelay(stages, 2), 0);
});

test('a stage without parallel stages is started at once', (t) => {
  t.is(getStartDelay([stage(300)], 0), 0);
  t.is(getStartDelay([stage(300), stage(200, [], Infinity)], 0), 0);
});
