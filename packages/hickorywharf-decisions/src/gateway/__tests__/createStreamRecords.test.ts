import test from 'ava';
import {createStreamRecords} from '../createStreamRecords.ts';

const origin = (streamId: string, version = 'v1') => ({
  streamId,
  service: 'engines',
  version,
});

test('a stream keeps the version that it was first recorded with', (t) => {
  const records = createStreamRecords(10, () => undefined);
  records.record(origin('r', 'v1'), 0);
  records.record(origin('r', 'v2'), 100);
  const found = records.find('r', 150);
  t.deepEqual([found?.origin.version, found?.ageMilliseconds], ['v1', 50]);
});

test('records are dropped by age, and the oldest for lack of room', (t) => {
  let dropped = 0;
  const records = createStreamRecords(2, () => (dropped += 1));
  records.record(origin('a'), 0);
  records.record(origin('b'), 10);
  records.record(origin('a'), 20);
  records.record(origin('c'), 30);
  t.is(records.find('b', 30), undefined);
  t.is(dropped, 1);
  records.dropExpired(1025, 1000);
  t.is(records.find('a', 1025), undefined);
  t.is(records.find('c', 1025)?.origin.streamId, 'c');
  t.is(dropped, 1, 'records that are too old are not missed');
});

test('each stream is told once', (t) => {
  const records = createStreamRecords(10, () => undefined);
  records.record(origin('a'), 0);
  records.record(origin('b'), 0);
  records.markTold('b');
  t.deepEqual(
    records.takeUntold(() => false),
    [],
  );
  t.deepEqual(
    records.takeUntold(() => true),
    [origin('a')],
  );
  t.deepEqual(
    records.takeUntold(() => true),
    [],
  );
});
