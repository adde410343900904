import test from 'ava';
import {getFirstEventTimeout} from '../getFirstEventTimeout.ts';

test('callers wait for a first event by their targets, if the route states both', (t) => {
  const get = (targetMilliseconds: number, gapTargetMilliseconds?: number) =>
    getFirstEventTimeout({
      kind: 'stream',
      targetMilliseconds,
      ...(gapTargetMilliseconds === undefined ? {} : {gapTargetMilliseconds}),
    });
  t.is(get(935, 250), 3740);
  t.is(get(100, 500), 4000);
  t.is(get(100, 100), 2000);
  t.is(get(935), Infinity);
});
