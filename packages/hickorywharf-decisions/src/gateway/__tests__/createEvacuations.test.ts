import test from 'ava';
import fc from 'fast-check';
import {createEvacuations} from '../createEvacuations.ts';

const at = (milliseconds: number) => ({
  monotonic: milliseconds,
  wall: milliseconds,
});

test('an order holds until a list lacks it', (t) => {
  const evacuations = createEvacuations();
  t.deepEqual(evacuations.update(['a'], at(0)), [
    {tag: 'begun', failureDomain: 'a'},
  ]);
  t.deepEqual(evacuations.update(['a'], at(100_000)), []);
  t.deepEqual(evacuations.list(), ['a']);
  t.deepEqual(evacuations.update([], at(100_001)), [
    {tag: 'ended', failureDomain: 'a'},
  ]);
  t.deepEqual(evacuations.list(), []);
});

test('an order that a restored store lacks is held until it is confirmed gone', (t) => {
  const evacuations = createEvacuations();
  evacuations.update(['a', 'b'], at(0));
  evacuations.recordRestored(at(1000));
  t.deepEqual(evacuations.update(['b'], at(1001)), [
    {tag: 'held', failureDomain: 'a'},
  ]);
  t.deepEqual(evacuations.update(['b'], at(3000)), []);
  t.deepEqual(evacuations.list(), ['a', 'b']);
  t.deepEqual(evacuations.update(['a', 'b'], at(3500)), [], 'written again');
  t.deepEqual(evacuations.update(['b'], at(6001)), [
    {tag: 'ended', failureDomain: 'a'},
  ]);
});

test('an order that a restored store brings back is in force', (t) => {
  const evacuations = createEvacuations();
  evacuations.update(['a'], at(0));
  evacuations.update([], at(500));
  evacuations.recordRestored(at(1000));
  t.is(evacuations.update(['a'], at(1001))[0]?.tag, 'begun');
  t.is(evacuations.update([], at(7000))[0]?.tag, 'ended');
});

test('lists of any names follow each other, and the changes explain the orders', (t) => {
  const lists = fc.array(
    fc.uniqueArray(fc.oneof(fc.string(), fc.constantFrom('a', '__proto__'))),
  );
  fc.assert(
    fc.property(lists, (all) => {
      const evacuations = createEvacuations();
      const explained = new Set<string>();
      for (const [index, list] of all.entries()) {
        for (const {tag, failureDomain} of evacuations.update(
          list,
          at(index),
        )) {
          if (tag === 'begun') explained.add(failureDomain);
          else explained.delete(failureDomain);
        }
        t.deepEqual(evacuations.list(), [...new Set(list)].sort());
        t.deepEqual(evacuations.list(), [...explained].sort());
      }
    }),
  );
});
