import test from 'ava';
import {resolveWithin} from '../resolveWithin.ts';

test('a value that does not come in time is replaced', async (t) => {
  const limit = {milliseconds: 20, otherwise: 'late'};
  t.is(await resolveWithin(Promise.resolve('value'), limit), 'value');
  t.is(await resolveWithin(new Promise<string>(() => {}), limit), 'late');
  await t.throwsAsync(
    resolveWithin(Promise.reject(new Error('broken')), limit),
  );
});
