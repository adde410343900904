import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {createEndpointDirectory} from '../createEndpointDirectory.ts';

const LAPSE_MILLISECONDS = 2000;

function endpoint(
  id: string,
  changes: Partial<GatewayEndpoint> = {},
): GatewayEndpoint {
  return {
    id,
    service: 'desk',
    host: '10.0.0.1',
    port: 80,
    failureDomain: 'a',
    isDraining: false,
    startedAt: 1,
    version: 'v1',
    slots: 6,
    ...changes,
  };
}

const at = (time: number) => ({monotonic: time, wall: time});
const ids = (list: readonly GatewayEndpoint[]) => list.map(({id}) => id);

test('an endpoint that is missing without an outage has left', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  const changes = directory.update([endpoint('a')], at(600));
  t.deepEqual(
    changes.map(({tag}) => tag),
    ['left'],
  );
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('an endpoint missing after an outage is kept for a while', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.recordOutage();
  t.is(directory.update([], at(5000))[0]?.tag, 'expired');
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
  directory.update([], at(6900));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
  t.is(directory.update([], at(7100))[0]?.tag, 'left');
  t.deepEqual(directory.getUsable('desk'), []);
});

test('an expired registration that is renewed changes nothing', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.recordOutage();
  directory.update([], at(5000));
  t.deepEqual(directory.update([endpoint('a')], at(6000)), []);
  directory.update([endpoint('a')], at(9000));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('draining persists for one incarnation, whatever the list says', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.update([endpoint('a', {isDraining: true})], at(600));
  t.deepEqual(directory.getUsable('desk'), []);
  directory.update([endpoint('a')], at(1200));
  t.deepEqual(directory.getUsable('desk'), []);
  const changes = directory.update([endpoint('a', {startedAt: 2})], at(1800));
  t.is(changes[0]?.tag, 'restarted');
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('time in which the instance was suspended counts', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.recordOutage();
  directory.update([], at(1000));
  directory.update([], {monotonic: 1100, wall: 9000});
  t.deepEqual(directory.getUsable('desk'), []);
});

test('directories with the same list have the same digest', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  const other = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a'), endpoint('b', {isDraining: true})], at(0));
  t.not(directory.getDigest(), other.getDigest());
  other.updateFromPeer(directory.list(), at(0));
  t.is(directory.getDigest(), other.getDigest());
  directory.update([endpoint('a'), endpoint('b')], at(600));
  t.is(directory.getDigest(), other.getDigest(), 'draining persists');
  directory.update([endpoint('a')], at(1200));
  t.not(directory.getDigest(), other.getDigest());
});

test('the list of a peer decides on expired registrations', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  directory.recordOutage();
  t.is(directory.update([endpoint('a')], at(500))[0]?.tag, 'expired');
  t.is(directory.updateFromPeer([endpoint('a')], at(600))[0]?.tag, 'left');
});

test('an endpoint that a restored store lacks is kept for a while', (t) => {
  const directory = createEndpointDirectory(2000);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  directory.recordRestored(at(1000));
  directory.update([endpoint('a')], at(1100));
  t.deepEqual(ids(directory.getUsable('desk')), ['a', 'b']);
  directory.update([endpoint('a')], at(3200));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('an endpoint that had left is not used because a restored store lists it', (t) => {
  const directory = createEndpointDirectory(2000);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  directory.update([endpoint('a')], at(1000));
  directory.recordRestored(at(2000));
  directory.update([endpoint('a'), endpoint('b')], at(2100));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
  // Its registration would have expired if it were gone.
  directory.update([endpoint('a'), endpoint('b')], at(7100));
  t.deepEqual(ids(directory.getUsable('desk')), ['a', 'b']);
});

test('an endpoint that drained and left stays draining in a restored store', (t) => {
  const directory = createEndpointDirectory(2000);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  directory.update([endpoint('a'), endpoint('b', {isDraining: true})], at(500));
  directory.update([endpoint('a')], at(1000));
  directory.recordRestored(at(2000));
  directory.update([endpoint('a'), endpoint('b')], at(8000));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('an endpoint that said that it leaves gets no work, whatever is listed', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a'), endpoint('b')], at(0));
  const digest = directory.getDigest();
  const changes = directory.recordLeaving(endpoint('a'), at(10));
  t.deepEqual(
    changes.map(({tag}) => tag),
    ['leaving'],
  );
  t.deepEqual(directory.recordLeaving(endpoint('a'), at(20)), []);
  t.deepEqual(ids(directory.getUsable('desk')), ['b']);
  t.deepEqual(directory.update([endpoint('a'), endpoint('b')], at(500)), []);
  t.deepEqual(ids(directory.getUsable('desk')), ['b']);
  directory.recordOutage();
  directory.update([endpoint('a'), endpoint('b')], at(400_000));
  t.deepEqual(ids(directory.getUsable('desk')), ['b']);
  directory.recordRestored(at(400_100));
  directory.update([endpoint('a'), endpoint('b')], at(400_200));
  directory.updateFromPeer([endpoint('a'), endpoint('b')], at(400_300));
  t.deepEqual(ids(directory.getUsable('desk')), ['b']);
  t.true(directory.isLeaving(endpoint('a')));
  // Peers get the list as it was read, so that it stays the same for all.
  t.is(directory.getDigest(), digest);
});

test('an endpoint that said that it leaves and expired is not used when it returns', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.recordLeaving(endpoint('a'), at(10));
  directory.update([], at(1000));
  directory.update([endpoint('a')], at(60_000));
  t.deepEqual(directory.getUsable('desk'), []);
});

test('the next incarnation of an endpoint that left is used', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  directory.update([endpoint('a')], at(0));
  directory.recordLeaving(endpoint('a'), at(10));
  directory.update([endpoint('a', {startedAt: 2})], at(2000));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
  // A late response of the former incarnation changes nothing.
  directory.recordLeaving(endpoint('a'), at(2010));
  t.deepEqual(ids(directory.getUsable('desk')), ['a']);
});

test('an endpoint that left long after it drained or said so is not used when it returns', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  const draining = endpoint('a', {isDraining: true});
  directory.update([draining, endpoint('b')], at(0));
  directory.recordLeaving(endpoint('b'), at(0));
  directory.update([draining, endpoint('b')], at(400_000));
  directory.update([], at(401_000));
  directory.update([], at(402_000));
  directory.update([endpoint('a'), endpoint('b')], at(403_000));
  t.deepEqual(directory.getUsable('desk'), []);
});

test('endpoints of an evacuated failure domain stay listed and get no work', (t) => {
  const directory = createEndpointDirectory(LAPSE_MILLISECONDS);
  const there = endpoint('there', {failureDomain: 'b'});
  directory.update([endpoint('here'), there], at(0));
  directory.setEvacuated(['b', 'unknown']);
  t.deepEqual(ids(directory.getUsable('desk')), ['here']);
  t.deepEqual(ids(directory.list()), ['here', 'there']);
  t.true(directory.isEvacuated(there));
  t.false(directory.isEmptied('desk'));
  const joined = endpoint('joined', {failureDomain: 'b'});
  directory.update([there, joined], at(100));
  t.true(directory.isEmptied('desk'));
  t.false(directory.isEmptied('unknown'));
  directory.update([{...there, isDraining: true}], at(200));
  t.false(directory.isEmptied('desk'), 'none would be usable');
  directory.update([joined], at(300));
  directory.setEvacuated([]);
  t.deepEqual(ids(directory.getUsable('desk')), ['joined']);
});
