import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createStageCallTracker} from '../createStageCallTracker.ts';

const endpoint = (id: string, failureDomain: string) =>
  ({id, failureDomain}) as GatewayEndpoint;

test('an endpoint is free again when a call of its slots ends', (t) => {
  const workers = createStageCallTracker();
  const end = workers.begin('x', 300, 1000);
  workers.begin('x', 500, 1000);
  t.false(workers.isFree('x', 2, 1100));
  t.is(workers.getWait('x', 2, 1100), 200);
  t.is(workers.getWait('x', 3, 1100), 0);
  end();
  t.true(workers.isFree('x', 2, 1100));
});

test('an endpoint without room is left until its time or a freed result', (t) => {
  const workers = createStageCallTracker();
  workers.markFull('x', 1080);
  t.false(workers.isFree('x', 1, 1000));
  t.true(workers.isFree('x', 1, 1080));
  workers.markFull('x', 1080);
  workers.clearFull('x');
  t.true(workers.isFree('x', 1, 1000));
});

test('the wait of another failure domain is that of its first endpoint', (t) => {
  const workers = createStageCallTracker();
  workers.begin('b', 300, 1000);
  workers.begin('c', 200, 1000);
  workers.markFull('d', 1050);
  const endpoints = [
    endpoint('a', 'near'),
    endpoint('b', 'far'),
    endpoint('c', 'far'),
    endpoint('d', 'farther'),
  ];
  t.deepEqual(
    [...workers.getOtherDomainWaits(endpoints, 'near', 1, 1000)],
    [
      ['far', 200],
      ['farther', 50],
    ],
  );
});

test('how slow an endpoint is follows its calls, within bounds', (t) => {
  const workers = createStageCallTracker();
  for (let call = 0; call < 100; call += 1) workers.recordSlowness('x', 9);
  const slowness = workers.getSlowness('x');
  t.true(slowness > 1.9 && slowness <= 2);
  workers.forget('x');
  t.is(workers.getSlowness('x'), 1);
});
