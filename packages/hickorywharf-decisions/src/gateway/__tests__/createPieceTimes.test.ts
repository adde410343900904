import test from 'ava';
import {createPieceTimes} from '../createPieceTimes.ts';

test('the time of a kind follows its calls, whatever is stated', (t) => {
  const times = createPieceTimes();
  t.is(times.get('a', 16), 16);
  for (let call = 0; call < 100; call += 1) times.learn(['a', 'a'], 16, 60);
  t.true(Math.abs(times.get('a', 16) - 30) < 1);
  t.is(times.get('b', 16), 16);
});

test('one call that took very long changes little', (t) => {
  const times = createPieceTimes();
  times.learn(['a'], 16, 16_000);
  t.true(times.get('a', 16) <= 16 * 1.2);
});
