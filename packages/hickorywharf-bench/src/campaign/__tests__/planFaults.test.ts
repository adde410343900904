import test from 'ava';
import fc from 'fast-check';
import {faults} from '../faults.ts';
import {planFaults} from '../planFaults.ts';

const seeds = fc.nat({max: 100_000});

test('a seed gives the same faults each time', (t) => {
  fc.assert(
    fc.property(seeds, (seed) => {
      t.deepEqual(planFaults(seed), planFaults(seed));
    }),
  );
});

test('two different faults affect at most one entry', (t) => {
  fc.assert(
    fc.property(seeds, (seed) => {
      const plan = planFaults(seed);
      const entries = plan.faults.filter(({target}) =>
        target.startsWith('entry'),
      );
      return plan.arrangement === 'the same twice' || entries.length < 2;
    }),
  );
  t.pass();
});

test('successive seeds start with every fault in turn', (t) => {
  const names = Array.from({length: 54}, (_, seed) => planFaults(seed)).map(
    (plan) => plan.faults[0]!.name,
  );
  t.is(new Set(names).size, Object.keys(faults).length);
});
