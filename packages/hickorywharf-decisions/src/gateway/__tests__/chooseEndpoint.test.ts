import test from 'ava';
import {chooseEndpoint} from '../chooseEndpoint.ts';

const endpoint = (id: string, changes: object = {}) => ({
  id,
  failureDomain: 'a',
  slots: 6,
  running: 0,
  answerMilliseconds: 80,
  penaltyMilliseconds: 0,
  ...changes,
});

test('a slow endpoint gets work only when the others are busy', (t) => {
  const slow = endpoint('slow', {answerMilliseconds: 400});
  t.is(chooseEndpoint([slow, endpoint('fast')], 'a')?.id, 'fast');
  t.is(
    chooseEndpoint([slow, endpoint('fast', {running: 30})], 'a')?.id,
    'slow',
  );
});

test('the own failure domain wins among equals', (t) => {
  const far = endpoint('far', {failureDomain: 'b'});
  t.is(chooseEndpoint([far, endpoint('near')], 'a')?.id, 'near');
});

test('an endpoint that failed is left alone for a while', (t) => {
  const failed = endpoint('failed', {penaltyMilliseconds: 200});
  t.is(chooseEndpoint([failed, endpoint('well')], 'a')?.id, 'well');
});
