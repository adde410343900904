import test from 'ava';
import {createEventLoop} from '../createEventLoop.ts';

test('an event raised by a command waits until all commands are executed', (t) => {
  const executed: string[] = [];
  const feed = createEventLoop<string, string>({
    decide: (event) => (event === 'first' ? ['a', 'b'] : ['c']),
    execute(command) {
      executed.push(command);
      if (command === 'a') feed('second');
    },
  });
  feed('first');
  t.deepEqual(executed, ['a', 'b', 'c']);
});
