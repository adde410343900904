import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {sleep} from 'hickorywharf-utils/sleep';
import {startProcess} from '../deployment/startProcess.ts';
import {findFreePorts} from '../deployment/findFreePorts.ts';
import {startRoles} from './startRoles.ts';

const STEADY = {tokens: 30, tokenMilliseconds: 20, tokenCharacters: 4};
const BULKY = {tokens: 6000, tokenMilliseconds: 0, tokenCharacters: 2000};

const MAXIMUM_CUTS = 4;
const TOKENS_PER_CUT = 5;

function countTo(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}

test('a disconnected caller has its generation cancelled at the engine', async (t) => {
  const roles = await startRoles(t, {...STEADY, tokens: 10_000});
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  const caller = new AbortController();
  const {body} = await roles.send(entry.port, caller.signal);
  await body[Symbol.asyncIterator]().next();
  caller.abort();
  await roles.waitFor(() => roles.engine.counts.cancelled === 1);
  t.is(roles.engine.counts.begun, 1);
  await Promise.all([entry.stop(), endpoint.stop()]);
});

test('a slow caller delays no other caller and receives its whole answer', async (t) => {
  const roles = await startRoles(t, BULKY);
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  const slow = await roles.send(entry.port);
  const quick = await roles.send(entry.port);
  const quickEvents = roles.readEvents(await quick.body.text());
  t.is(quickEvents.last, 'answer');
  t.deepEqual(quickEvents.positions, countTo(BULKY.tokens));
  await roles.waitFor(() => roles.engine.counts.finished === 2);
  // A planned stop waits until the slow caller has read the whole response.
  const stopped = entry.stop();
  const slowEvents = roles.readEvents(await slow.body.text());
  t.deepEqual(slowEvents.positions, countTo(BULKY.tokens));
  t.is(slowEvents.last, 'answer');
  await Promise.all([stopped, endpoint.stop()]);
});

test('a stream resumes over a new connection, without a missing or repeated token', async (t) => {
  const roles = await startRoles(t, STEADY);
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  const {body} = await roles.send(entry.port);
  let text = '';
  let cuts = 0;
  for await (const chunk of body) {
    text += String(chunk);
    const {length} = roles.readEvents(text).positions;
    // Fewer cuts than a stage has attempts, in case each starts a new attempt.
    if (cuts >= MAXIMUM_CUTS || length < (cuts + 1) * TOKENS_PER_CUT) continue;
    cuts += 1;
    endpoint.cut();
  }
  const {positions, last} = roles.readEvents(text);
  t.is(cuts, MAXIMUM_CUTS);
  t.deepEqual(positions, countTo(STEADY.tokens));
  t.is(last, 'answer');
  await Promise.all([entry.stop(), endpoint.stop()]);
});

test('an entry that stops in a store outage aborts no stream', async (t) => {
  const roles = await startRoles(t, STEADY);
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  roles.store.faults.unavailable = true;
  const before = await roles.send(entry.port);
  const stopped = entry.stop();
  const readiness = await roles.getReadiness(entry.port);
  t.is(readiness.statusCode, 503);
  t.regex(readiness.reason!, /stopping/);
  // The balancer still sends to the entry for a while.
  const late = await roles.send(entry.port);
  t.is(late.headers['connection'], 'close');
  for (const {body} of [before, late]) {
    const {positions, last} = roles.readEvents(await body.text());
    t.deepEqual(positions, countTo(STEADY.tokens));
    t.is(last, 'answer');
  }
  await stopped;
  await endpoint.stop();
});

test('an endpoint process that stops in a store outage aborts no stream', async (t) => {
  const roles = await startRoles(t, STEADY);
  await roles.apply(['engine-1', 'engine-2']);
  const first = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  const before = await roles.send(entry.port);
  const second = await roles.startEndpoint('engine-2');
  roles.store.faults.unavailable = true;
  const stopped = first.stop();
  const after = await roles.send(entry.port);
  for (const {body} of [before, after]) {
    const {positions, last} = roles.readEvents(await body.text());
    t.deepEqual(positions, countTo(STEADY.tokens));
    t.is(last, 'answer');
  }
  await stopped;
  await Promise.all([entry.stop(), second.stop()]);
});

test('processes that start in a store outage fetch the configuration from peers', async (t) => {
  const roles = await startRoles(t, STEADY);
  await roles.apply(['engine-1', 'engine-2']);
  const first = await roles.startEndpoint('engine-1');
  const firstEntry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(firstEntry.port);
  roles.store.faults.unavailable = true;
  const second = await roles.startEndpoint('engine-2');
  const secondEntry = await roles.startEntry('entry-2');
  await roles.waitUntilReady(secondEntry.port);
  const {statusCode, body} = await roles.send(secondEntry.port);
  t.is(statusCode, 200);
  t.is(roles.readEvents(await body.text()).last, 'answer');
  const stops = [first, second, firstEntry, secondEntry];
  await Promise.all(stops.map((role) => role.stop()));
});

test('an entry with neither store nor peers reports why it is not ready', async (t) => {
  const roles = await startRoles(t, STEADY);
  roles.store.faults.unavailable = true;
  const entry = await roles.startEntry('entry-1');
  const {statusCode, reason} = await roles.getReadiness(entry.port);
  t.is(statusCode, 503);
  t.regex(reason!, /no configuration yet: .* no peer is connected/);
  const refused = await roles.send(entry.port);
  t.is(refused.statusCode, 503);
  t.like(await refused.body.json(), {outcome: 'notRun', step: 'admit'});
  await entry.stop();
});

test('with [tls] set in both roles, requests are answered', async (t) => {
  const directory = path.resolve(
    import.meta.dirname,
    '../../../hickorywharf-transport/src/__tests__/certificates',
  );
  const roles = await startRoles(t, STEADY, {
    certificateFile: path.join(directory, 'process.pem'),
    keyFile: path.join(directory, 'process.key.pem'),
    authorityFile: path.join(directory, 'authority.pem'),
  });
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await roles.startEntry('entry-1');
  await roles.waitUntilReady(entry.port);
  const {body} = await roles.send(entry.port);
  t.is(roles.readEvents(await body.text()).last, 'answer');
  await Promise.all([entry.stop(), endpoint.stop()]);
});

/** Starts an entry as a separate process, to which a test can send signals. */
async function startEntryProcess(
  t: ExecutionContext,
  roles: Awaited<ReturnType<typeof startRoles>>,
) {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'hickorywharf-test-'));
  const [port] = await findFreePorts('127.0.0.1', 1);
  const {storeUrl, instancesUrl} = roles.platform;
  const assignments = [
    'process.name=entry-1',
    'process.failureDomain=a',
    `platform.storeUrl=${storeUrl}`,
    `platform.instancesUrl=${instancesUrl}`,
    'http.address=127.0.0.1',
    `http.port=${port}`,
    'stop.balancerMilliseconds=100',
  ].flatMap((assignment) => ['--set', assignment]);
  const program = path.resolve(
    import.meta.dirname,
    '../../../hickorywharf/bin/hickorywharf.ts',
  );
  const entry = startProcess({
    program: process.execPath,
    words: [program, 'entry', ...assignments],
    logFile: path.join(directory, 'entry.log'),
  });
  t.teardown(() => {
    entry.signal('SIGKILL');
    rmSync(directory, {recursive: true});
  });
  await roles.waitFor(async () => {
    try {
      return (await roles.getReadiness(port!)).statusCode === 200;
    } catch {
      return false;
    }
  });
  return {...entry, port: port!};
}

test('further SIGTERMs abort no stream, and the entry exits with 0', async (t) => {
  const roles = await startRoles(t, STEADY);
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await startEntryProcess(t, roles);
  const {body} = await roles.send(entry.port);
  entry.signal('SIGTERM');
  entry.signal('SIGTERM');
  const {positions, last} = roles.readEvents(await body.text());
  entry.signal('SIGTERM');
  t.deepEqual(positions, countTo(STEADY.tokens));
  t.is(last, 'answer');
  t.is(await entry.exited, 0);
  await endpoint.stop();
});

test('an entry exits only after a slow caller has received its whole answer', async (t) => {
  const roles = await startRoles(t, BULKY);
  await roles.apply(['engine-1']);
  const endpoint = await roles.startEndpoint('engine-1');
  const entry = await startEntryProcess(t, roles);
  const {body} = await roles.send(entry.port);
  entry.signal('SIGTERM');
  await roles.waitFor(() => roles.engine.counts.finished === 1);
  // Long enough for an entry that does not wait to have exited.
  await sleep(1000);
  const {positions, last} = roles.readEvents(await body.text());
  t.deepEqual(positions, countTo(BULKY.tokens));
  t.is(last, 'answer');
  t.is(await entry.exited, 0);
  await endpoint.stop();
});
