import test from 'ava';
import {createResponseTimes} from '../createResponseTimes.ts';

test('the times of a route are those of its recent responses', (t) => {
  const times = createResponseTimes();
  t.is(times.getUsual('a'), undefined);
  for (let time = 100; time >= 1; time -= 1) times.record('a', time);
  times.record('b', 7);
  // The last 64 are 1 to 64.
  t.is(times.getLongest('a'), 64);
  t.is(times.getUsual('a'), 58);
  t.is(times.getLongest('b'), 7);
});

test('routes that are used no more are dropped', (t) => {
  const times = createResponseTimes();
  for (let route = 0; route <= 1000; route += 1) {
    times.record('used', 5);
    times.record(`route ${route}`, 5);
  }
  t.is(times.getUsual('used'), 5);
  t.is(times.getUsual('route 0'), undefined);
  t.is(times.getUsual('route 1000'), 5);
});
