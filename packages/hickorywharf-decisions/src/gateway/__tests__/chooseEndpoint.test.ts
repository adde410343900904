import test from 'ava';
import {chooseEndpoint} from '../chooseEndpoint.ts';

const endpoint = (id: string, changes: object = {}) => ({
  id,
  failureDomain: 'a',
  slots: 6,
  running: 0,
  responseMilliseconds: 80,
  penaltyMilliseconds: 0,
  ...changes,
});

test('a slow endpoint gets work only when the others are busy', (t) => {
  const slow = endpoint('slow', {responseMilliseconds: 400});
  t.is(chooseEndpoint([slow, endpoint('fast')], 'a')?.id, 'fast');
  t.is(
    chooseEndpoint([slow, endpoint('fast', {running: 30})], 'a')?.id,
    'slow',
  );
});

test('a local endpoint is preferred among equals', (t) => {
  const remote = endpoint('remote', {failureDomain: 'b'});
  t.is(chooseEndpoint([remote, endpoint('local')], 'a')?.id, 'local');
});

test('an endpoint that failed is avoided for a while', (t) => {
  const failed = endpoint('failed', {penaltyMilliseconds: 200});
  t.is(chooseEndpoint([failed, endpoint('healthy')], 'a')?.id, 'healthy');
});
