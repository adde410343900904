import test from 'ava';
import {createEndpointHealth} from '../createEndpointHealth.ts';

test('failures in a row cost more, and fade', (t) => {
  const health = createEndpointHealth();
  health.noteFailure('a', 0);
  const first = health.getPenalty('a', 0);
  health.noteFailure('a', 0);
  t.true(health.getPenalty('a', 0) > first);
  t.is(health.getPenalty('a', 60_000), 0);
});

test('an answer ends a series of failures', (t) => {
  const health = createEndpointHealth();
  health.noteFailure('a', 0);
  health.noteAnswer('a', 50);
  t.is(health.getPenalty('a', 10), 0);
});

test('the usual time follows the answers', (t) => {
  const health = createEndpointHealth();
  for (let round = 0; round < 50; round += 1) health.noteAnswer('a', 400);
  t.true(health.getAnswerTime('a') > 390);
});

test('a slow endpoint is left alone for longer than a failing one', (t) => {
  const health = createEndpointHealth();
  health.noteFailure('failing', 0);
  health.noteSilence('slow', 0);
  t.true(health.getPenalty('slow', 0) > 4 * health.getPenalty('failing', 0));
});
