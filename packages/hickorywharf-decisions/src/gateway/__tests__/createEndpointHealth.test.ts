import test from 'ava';
import {createEndpointHealth} from '../createEndpointHealth.ts';

test('consecutive failures raise the penalty, which decays', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('a', 0);
  const first = health.getPenalty('a', 0);
  health.recordFailure('a', 0);
  t.true(health.getPenalty('a', 0) > first);
  t.is(health.getPenalty('a', 60_000), 0);
});

test('a response resets the penalty', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('a', 0);
  health.recordResponse('a', 50);
  t.is(health.getPenalty('a', 10), 0);
});

test('the response time follows the responses', (t) => {
  const health = createEndpointHealth();
  for (let count = 0; count < 50; count += 1) health.recordResponse('a', 400);
  t.true(health.getResponseTime('a') > 390);
});

test('a timeout costs more than a failure', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('failing', 0);
  health.recordTimeout('slow', 0);
  t.true(health.getPenalty('slow', 0) > 4 * health.getPenalty('failing', 0));
});

test('an endpoint is silent until it goes on, and costs as one that failed', (t) => {
  const health = createEndpointHealth();
  health.recordFailure('failing', 0);
  t.false(health.isSilent('failing'));
  health.recordSilence('silent', 0);
  t.true(health.isSilent('silent'));
  health.recordProgress('silent');
  t.false(health.isSilent('silent'));
  // Another call that goes on proves nothing for new ones.
  t.is(health.getPenalty('silent', 0), health.getPenalty('failing', 0));
});
