import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createStageCallTracker} from '../createStageCallTracker.ts';

const endpoint = (id: string, failureDomain: string) =>
  ({id, failureDomain}) as GatewayEndpoint;

test('an endpoint is free again when one of its calls ends', (t) => {
  const tracker = createStageCallTracker();
  const endCall = tracker.startCall('x', 300, 1000);
  tracker.startCall('x', 500, 1000);
  t.false(tracker.isFree('x', 2, 1100));
  t.is(tracker.getWait('x', 2, 1100), 200);
  t.is(tracker.getWait('x', 3, 1100), 0);
  endCall();
  t.true(tracker.isFree('x', 2, 1100));
});

test('a full endpoint is free after its time or a released result', (t) => {
  const tracker = createStageCallTracker();
  tracker.markFull('x', 1080);
  t.false(tracker.isFree('x', 1, 1000));
  t.true(tracker.isFree('x', 1, 1080));
  tracker.markFull('x', 1080);
  tracker.clearFull('x');
  t.true(tracker.isFree('x', 1, 1000));
});

test('the wait of a failure domain is that of its first free endpoint', (t) => {
  const tracker = createStageCallTracker();
  tracker.startCall('b', 300, 1000);
  tracker.startCall('c', 200, 1000);
  tracker.markFull('d', 1050);
  const endpoints = [
    endpoint('a', 'local'),
    endpoint('b', 'second'),
    endpoint('c', 'second'),
    endpoint('d', 'third'),
  ];
  t.deepEqual(
    [...tracker.getOtherDomainWaits(endpoints, 'local', 1, 1000)],
    [
      ['second', 200],
      ['third', 50],
    ],
  );
});

test('the slowness of an endpoint follows its calls up to a limit', (t) => {
  const tracker = createStageCallTracker();
  for (let call = 0; call < 100; call += 1) tracker.recordSlowness('x', 9);
  const slowness = tracker.getSlowness('x');
  t.true(slowness > 1.9 && slowness <= 2);
  tracker.remove('x');
  t.is(tracker.getSlowness('x'), 1);
});

test('a call that takes longer than expected is expected to take as long again as it is late', (t) => {
  const tracker = createStageCallTracker();
  tracker.startCall('x', 300, 1000);
  t.is(tracker.estimateWait('x', 1, 1100), 200);
  t.is(tracker.estimateWait('x', 1, 1300), 0);
  t.is(tracker.estimateWait('x', 1, 2300), 1000);
  t.is(tracker.getWait('x', 1, 2300), 0);
  t.is(tracker.estimateWait('x', 2, 2300), 0, 'a slot is free');
  tracker.startCall('x', 300, 2200);
  t.is(tracker.estimateWait('x', 2, 2300), 200, 'the other slot is earlier');
});
