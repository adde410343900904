import test from 'ava';
import {createPieceTimeEstimator} from '../createPieceTimeEstimator.ts';

test('the estimate of a kind converges to its measured time', (t) => {
  const times = createPieceTimeEstimator();
  t.is(times.get('a', 16), 16);
  for (let call = 0; call < 100; call += 1) times.observe(['a', 'a'], 16, 60);
  t.true(Math.abs(times.get('a', 16) - 30) < 1);
  t.is(times.get('b', 16), 16);
});

test('one very long call changes the estimate little', (t) => {
  const times = createPieceTimeEstimator();
  times.observe(['a'], 16, 16_000);
  t.true(times.get('a', 16) <= 16 * 1.2);
});
