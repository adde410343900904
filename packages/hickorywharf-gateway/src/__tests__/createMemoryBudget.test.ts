import test from 'ava';
import {createMemoryBudget} from '../createMemoryBudget.ts';

test('many large responses do not end small ones', (t) => {
  const memory = createMemoryBudget({maximumBytes: 1000, now: () => 0});
  const evicted: string[] = [];
  const open = (name: string, bytes: number) => {
    const slot = memory.open('arrivingResponse', () => void evicted.push(name));
    slot.add(bytes);
    return slot;
  };
  const small = open('small', 10);
  open('large', 600);
  open('larger', 700);
  t.deepEqual(evicted, ['larger']);
  small.add(10);
  open('last', 380);
  t.deepEqual(evicted, ['larger']);
  small.add(1);
  t.deepEqual(evicted, ['larger', 'large']);
});

test('the bytes of a closed response count for nothing', (t) => {
  const memory = createMemoryBudget({maximumBytes: 1000, now: () => 0});
  let evictions = 0;
  for (let count = 0; count < 100; count += 1) {
    const slot = memory.open('arrivingResponse', () => void (evictions += 1));
    slot.add(900);
    slot.close();
    slot.close();
    slot.add(900);
  }
  t.is(evictions, 0);
});

test('large responses that still arrive are dropped before those that callers read', (t) => {
  const memory = createMemoryBudget({maximumBytes: 1_000_000, now: () => 0});
  const evicted: string[] = [];
  const open = (name: string, bytes: number) => {
    const slot = memory.open('arrivingResponse', () => void evicted.push(name));
    slot.add(bytes);
    return slot;
  };
  open('read', 500_000).setKind('unreadResponse');
  open('arriving', 400_000);
  const small = open('small', 100);
  open('large', 100_000);
  t.deepEqual(evicted, ['arriving']);
  open('read too', 390_000).setKind('unreadResponse');
  t.deepEqual(evicted, ['arriving']);
  open('larger', 300_000);
  t.deepEqual(evicted, ['arriving', 'larger']);
  small.add(20_000);
  t.deepEqual(evicted, ['arriving', 'larger', 'large']);
  small.add(90_000);
  t.deepEqual(evicted, ['arriving', 'larger', 'large', 'small']);
});
