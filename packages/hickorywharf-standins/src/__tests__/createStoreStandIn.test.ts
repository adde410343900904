import test from 'ava';
import {createStoreStandIn} from '../createStoreStandIn.ts';

type StandIn = ReturnType<typeof createStoreStandIn>;

function put(standIn: StandIn, path: string, value: unknown = 1) {
  return standIn.application.request(path, {
    method: 'PUT',
    body: JSON.stringify({value}),
  });
}

async function getStatus(standIn: StandIn, path: string): Promise<number> {
  const response = await standIn.application.request(path);
  return response.status;
}

test('a write is applied only at the revision that it expects', async (t) => {
  const standIn = createStoreStandIn();
  t.is((await put(standIn, '/v1/keys/a?expected=0')).status, 200);
  t.is((await put(standIn, '/v1/keys/a?expected=0')).status, 409);
  t.is((await put(standIn, '/v1/keys/a?expected=1')).status, 200);
});

test('a write whose response is lost is applied', async (t) => {
  const standIn = createStoreStandIn();
  standIn.faults.loseWriteAnswers = 1;
  t.is((await put(standIn, '/v1/keys/a?expected=0')).status, 500);
  t.is(await getStatus(standIn, '/v1/keys/a'), 200);
});

test('the keys of an expired lease are deleted', async (t) => {
  const standIn = createStoreStandIn();
  await put(standIn, '/v1/leases/holder?milliseconds=60000');
  await put(standIn, '/v1/keys/a?expected=0&lease=holder');
  t.is((await put(standIn, '/v1/leases/holder')).status, 200);
  standIn.faults.lapseLeases = 1;
  t.is((await put(standIn, '/v1/leases/holder')).status, 410);
  t.is(await getStatus(standIn, '/v1/keys/a'), 404);
});

test('calls over the rate are refused and change nothing', async (t) => {
  const standIn = createStoreStandIn();
  standIn.faults.writesPerSecond = 2;
  const statuses = [];
  for (let index = 0; index < 4; index += 1) {
    statuses.push((await put(standIn, `/v1/keys/${index}?expected=0`)).status);
  }
  t.true(statuses.includes(429));
  const refused = statuses.indexOf(429);
  t.is(await getStatus(standIn, `/v1/keys/${refused}`), 404);
  t.true(standIn.calls.refused > 0);
});

test('a value over a megabyte is refused', async (t) => {
  const standIn = createStoreStandIn();
  const value = 'x'.repeat(1024 * 1024);
  t.is((await put(standIn, '/v1/keys/a?expected=0', value)).status, 413);
});

test('a dropped event is never delivered', async (t) => {
  const standIn = createStoreStandIn();
  standIn.faults.dropWatchEvents = 1;
  await put(standIn, '/v1/keys/a?expected=0');
  await put(standIn, '/v1/keys/b?expected=0');
  const response = await standIn.application.request(
    '/v1/watch?prefix=&after=0&wait=50',
  );
  const {items, revision} = (await response.json()) as {
    items: {key: string}[];
    revision: number;
  };
  t.deepEqual(
    items.map(({key}) => key),
    ['b'],
  );
  t.is(revision, 2);
});
