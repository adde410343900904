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

for (const [mark, other] of [
  ['told', 'kept'],
  ['kept', 'told'],
] as const) {
  test(`each stream is ${mark} once`, (t) => {
    const records = createStreamRecords(10, () => undefined);
    records.record(origin('a'), 0);
    records.record(origin('b'), 0);
    records.mark('a', other);
    records.mark('b', mark);
    t.deepEqual(
      records.takeUnmarked(mark, () => false),
      [],
    );
    t.deepEqual(
      records.takeUnmarked(mark, () => true),
      [origin('a')],
    );
    t.deepEqual(
      records.takeUnmarked(mark, () => true),
      [],
    );
  });
}
