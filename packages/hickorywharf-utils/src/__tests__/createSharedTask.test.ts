import test from 'ava';
import {createSharedTask} from '../createSharedTask.ts';

test('a caller gets the result of the first task that starts after its call', async (t) => {
  const ends: Array<(value: string) => void> = [];
  const run = createSharedTask(
    () => new Promise<string>((resolve) => void ends.push(resolve)),
  );
  const first = run();
  await Promise.resolve();
  t.is(ends.length, 1);
  const later = [run(), run()];
  ends[0]!('first');
  t.is(await first, 'first');
  await new Promise((resolve) => setImmediate(resolve));
  t.is(ends.length, 2);
  ends[1]!('second');
  t.deepEqual(await Promise.all(later), ['second', 'second']);
});
