import test from 'ava';
import {createLatenessMonitor} from '../createLatenessMonitor.ts';
import {sleep} from '../sleep.ts';

test('a blocked event loop counts as late, also before its timers ran', async (t) => {
  const lateness = createLatenessMonitor();
  t.teardown(lateness.stop);
  const end = performance.now() + 700;
  while (performance.now() < end);
  t.true(lateness.get() >= 450);
  await sleep(400);
  t.true(lateness.get() >= 450);
});
