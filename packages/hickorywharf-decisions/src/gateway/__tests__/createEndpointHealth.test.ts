import test from 'ava';
import {createEndpointHealth} from '../createEndpointHealth.ts';

test('failures in a row cost more, and fade', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('a', 0);
  const first = health.getPenalty('a', 0);
  health.recordFailure('a', 0);
  t.true(health.getPenalty('a', 0) > first);
  t.is(health.getPenalty('a', 60_000), 0);
});

test('an answer ends a series of failures', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('a', 0);
  health.recordResponse('a', 50);
  t.is(health.getPenalty('a', 10), 0);
});

test('the usual time follows the answers', (t) => {
  const health = createEndpointHealth();
  for (let round = 0; round < 50; round += 1) health.recordResponse('a', 400);
  t.true(health.getResponseTime('a') > 390);
});

test('a slow endpoint is left alone for longer than a failing one', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('failing', 0);
  health.recordTimeout('slow', 0);
  t.true(health.getPenalty('slow', 0) > 4 * health.getPenalty('failing', 0));
});
