import test, {type ExecutionContext} from 'ava';
import {ok} from 'neverthrow';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import {createStoreStandIn} from 'hickorywharf-standins/createStoreStandIn';
import {listen} from 'hickorywharf-standins/listen';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {sleep} from 'hickorywharf-utils/sleep';
import {changeConfiguration} from '../changeConfiguration.ts';
import {createConfigurationReplica} from '../createConfigurationReplica.ts';
import {followConfiguration} from '../followConfiguration.ts';

const POLL_MILLISECONDS = 20;
/** Far above the expected time: a test that waits this long has failed. */
const WAIT_TIMEOUT_MILLISECONDS = 20_000;

async function waitUntil(isDone: () => boolean): Promise<boolean> {
  const end = performance.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (!isDone() && performance.now() < end) await sleep(POLL_MILLISECONDS);
  return isDone();
}

async function start(t: ExecutionContext, isWatcher: boolean) {
  const standIn = createStoreStandIn();
  const {port, close} = await listen(standIn.application, {
    address: '127.0.0.1',
    port: 0,
  });
  const store = createStoreClient(`http://127.0.0.1:${port}`);
  const replica = createConfigurationReplica({
    onConfigurationChange: () => undefined,
    now: () => performance.now(),
    relay: 'announce',
  });
  const abortController = new AbortController();
  t.teardown(async () => {
    abortController.abort();
    // Ends the pending watch.
    await setFaults({unavailable: true});
    close();
  });
  const setFaults = async (faults: Partial<typeof standIn.faults>) => {
    const body = JSON.stringify(faults);
    await standIn.application.request('/v1/faults', {method: 'PUT', body});
  };
  let operations = 0;
  const createOperation = () => `operation-${(operations += 1)}`;
  void followConfiguration({
    store,
    replica,
    role: 'entry',
    policy: 'watchers',
    isWatcher: () => isWatcher,
    getEntryCount: () => 1,
    createOperation,
    random: createRandom(1),
    signal: abortController.signal,
  });
  return {
    ...standIn,
    replica,
    setFaults,
    apply: (name: string) =>
      changeConfiguration({
        store,
        createOperation,
        plan: () => {
          const document = {
            kind: 'endpoint',
            schemaVersion: 1,
            name,
            pool: 'desks',
          };
          return ok([{kind: 'endpoint', name, document}]);
        },
        base: null,
        activeSequence: 0,
      }),
    waitFor: (sequence: number) =>
      waitUntil(() => replica.sequence === sequence),
  };
}

test('a watcher that misses an event reads the missing entries', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  started.faults.dropWatchEvents = 1;
  await started.apply('desk-2');
  await started.apply('desk-3');
  t.true(await started.waitFor(3), 'after a gap');
  started.faults.dropWatchEvents = 1;
  await started.apply('desk-4');
  t.true(await started.waitFor(4), 'after the last event, which leaves no gap');
});

test('late and reordered events are applied in order', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  started.faults.reverseWatchEvents = true;
  started.faults.delayWatchMilliseconds = 200;
  for (let desk = 2; desk <= 6; desk += 1) await started.apply(`desk-${desk}`);
  t.true(await started.waitFor(6));
});

test('a change arrives without any watcher', async (t) => {
  const started = await start(t, false);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  await started.apply('desk-2');
  t.true(await started.waitFor(2));
  t.is(started.calls.watch, 0);
});

test('following continues after an outage and refused calls', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  await started.setFaults({unavailable: true});
  t.true(await waitUntil(() => started.calls.refused >= 3));
  await started.setFaults({unavailable: false, readsPerSecond: 0.5});
  const refused = started.calls.refused;
  t.true(await waitUntil(() => started.calls.refused > refused));
  await started.setFaults({readsPerSecond: 0});
  await started.apply('desk-2');
  t.true(await started.waitFor(2));
});

test('the active configuration is written back to a restored store', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  await started.application.request('/v1/backup', {method: 'POST'});
  await started.apply('desk-2');
  t.true(await started.waitFor(2));
  await started.application.request('/v1/restore', {method: 'POST'});
  const key = encodeURIComponent('configuration/snapshot');
  const end = performance.now() + WAIT_TIMEOUT_MILLISECONDS;
  let status = 404;
  while (status !== 200 && performance.now() < end) {
    await sleep(POLL_MILLISECONDS);
    ({status} = await started.application.request(`/v1/keys/${key}`));
  }
  const outcome = await started.apply('desk-3');
  t.like(outcome, {tag: 'accepted', sequence: 3});
  t.true(await started.waitFor(3));
});
