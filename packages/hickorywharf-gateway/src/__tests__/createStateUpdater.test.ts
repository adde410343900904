import test from 'ava';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createGatewayState} from '../createGatewayState.ts';
import {createStateUpdater} from '../createStateUpdater.ts';

test('failures of a process are not held against the one that follows it', (t) => {
  const state = createGatewayState({
    name: 'front-1',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  const health = createEndpointHealth();
  const updater = createStateUpdater({
    state,
    metrics: {count() {}, time() {}},
    log: {infoAlways() {}, infoRateLimited() {}},
    getInstant: () => ({monotonic: 0, wall: 0}),
    onChange() {},
    onEndpointRemoved() {},
    onEndpointRestarted: health.remove,
    onEndpointsConfirmed() {},
  });
  const endpoint: GatewayEndpoint = {
    id: 'desk-1',
    service: 'desk',
    host: '127.0.0.1',
    port: 8569,
    failureDomain: 'a',
    isDraining: false,
    startedAt: 1,
    version: 'v1',
    slots: 8,
  };
  updater.applyEndpoints([endpoint], {monotonic: 10, wall: 10});
  for (let failures = 0; failures < 5; failures += 1) {
    health.recordFailure('desk-1', 20);
  }
  updater.applyEndpoints([endpoint], {monotonic: 30, wall: 30});
  t.true(health.getPenalty('desk-1', 40) > 0, 'the same process');
  const next = {...endpoint, startedAt: 2};
  updater.applyEndpoints([next], {monotonic: 50, wall: 50});
  t.is(health.getPenalty('desk-1', 60), 0);
});
