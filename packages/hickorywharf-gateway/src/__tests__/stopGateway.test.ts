import test from 'ava';
import {sleep} from 'hickorywharf-utils/sleep';
import {createGatewayState} from '../createGatewayState.ts';
import {stopGateway} from '../stopGateway.ts';

type StopOptions = Parameters<typeof stopGateway>[0];

/** Stops an instance without calls, and tells how long that took. */
async function stop(options: Partial<StopOptions>): Promise<number> {
  const settings = {
    name: 'front-1',
    failureDomain: 'a',
    capacity: 0.5,
    lapseMilliseconds: 2000,
    graceMilliseconds: 4000,
  };
  const startedAt = performance.now();
  await stopGateway({
    settings,
    state: createGatewayState(settings),
    server: {
      getActiveCalls: () => 0,
      closeIdle: () => undefined,
      refuseUnfinishable: () => undefined,
      endCalls: () => undefined,
    },
    lateness: {get: () => 0},
    log: {infoAlways: () => undefined},
    now: () => performance.now(),
    hasPeerOrders: () => false,
    announce: () => undefined,
    ...options,
  });
  return performance.now() - startedAt;
}

test('an instance without calls stops once the load balancer has noticed', async (t) => {
  const milliseconds = await stop({});
  t.true(milliseconds >= 2600 && milliseconds < 3200, `${milliseconds} ms`);
});

// Guards against orders that end with the dispatcher that they were placed at.
test('an instance that stops makes the pieces that others have ordered', async (t) => {
  let hasPeerOrders = true;
  const stopping = stop({hasPeerOrders: () => hasPeerOrders});
  await sleep(3000);
  hasPeerOrders = false;
  const milliseconds = await stopping;
  t.true(milliseconds >= 3000 && milliseconds < 3600, `${milliseconds} ms`);
});

test('orders of others keep an instance no longer than its grace period', async (t) => {
  const milliseconds = await stop({hasPeerOrders: () => true});
  t.true(milliseconds >= 3700 && milliseconds < 4000, `${milliseconds} ms`);
});
