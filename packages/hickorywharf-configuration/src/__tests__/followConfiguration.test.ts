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
/** Far over what is expected: a test that waits this long has failed. */
const PATIENCE_MILLISECONDS = 20_000;

async function waitUntil(isDone: () => boolean): Promise<boolean> {
  const end = performance.now() + PATIENCE_MILLISECONDS;
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
  const keeper = createConfigurationReplica({
    onConfigurationChange: () => undefined,
    now: () => performance.now(),
    relay: 'announce',
  });
  const lifetime = new AbortController();
  t.teardown(async () => {
    lifetime.abort();
    // Ends the watch that still waits.
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
    replica: keeper,
    role: 'entry',
    policy: 'watchers',
    isWatcher: () => isWatcher,
    getEntries: () => 1,
    createOperation,
    random: createRandom(1),
    signal: lifetime.signal,
  });
  return {
    ...standIn,
    keeper,
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
      waitUntil(() => keeper.sequence === sequence),
  };
}

test('a watcher that misses an event reads what is missing', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  started.faults.dropWatchEvents = 1;
  await started.apply('desk-2');
  await started.apply('desk-3');
  t.true(await started.waitFor(3), 'over the gap');
  started.faults.dropWatchEvents = 1;
  await started.apply('desk-4');
  t.true(await started.waitFor(4), 'the last one, which leaves no gap');
});

test('events that are late and in the wrong order are put right', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  started.faults.reverseWatchEvents = true;
  started.faults.delayWatchMilliseconds = 200;
  for (let desk = 2; desk <= 6; desk += 1) await started.apply(`desk-${desk}`);
  t.true(await started.waitFor(6));
});

test('without any watcher a change still comes', async (t) => {
  const started = await start(t, false);
  await started.apply('desk-1');
  t.true(await started.waitFor(1));
  await started.apply('desk-2');
  t.true(await started.waitFor(2));
  t.is(started.calls.watch, 0);
});

test('after an outage and refused calls it goes on', async (t) => {
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

test('a store that went back is given what is in force', async (t) => {
  const started = await start(t, true);
  await started.apply('desk-1');
  await started.application.request('/v1/backup', {method: 'POST'});
  await started.apply('desk-2');
  t.true(await started.waitFor(2));
  await started.application.request('/v1/restore', {method: 'POST'});
  const key = encodeURIComponent('configuration/snapshot');
  const end = performance.now() + PATIENCE_MILLISECONDS;
  let status = 404;
  while (status !== 200 && performance.now() < end) {
    await sleep(POLL_MILLISECONDS);
    ({status} = await started.application.request(`/v1/keys/${key}`));
  }
  const outcome = await started.apply('desk-3');
  t.like(outcome, {tag: 'accepted', sequence: 3});
  t.true(await started.waitFor(3));
});
