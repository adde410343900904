import test from 'ava';
import fc from 'fast-check';
import {createConfigurationLog} from '../createConfigurationLog.ts';

const ENTRIES = Array.from({length: 8}, (_, index) => ({
  sequence: index + 1,
  operation: `operation-${index}`,
  changes: [
    {
      kind: 'route',
      name: `route-${index % 3}`,
      document:
        index % 4 === 3
          ? null
          : {
              kind: 'route',
              schemaVersion: 1,
              name: `route-${index % 3}`,
              pipeline: `pipeline-${index}`,
            },
    },
  ],
}));

test('the sequence never decreases, with reordered, repeated and older input', (t) => {
  const reference = createConfigurationLog();
  reference.applyEntries(ENTRIES);
  const olderLog = createConfigurationLog();
  olderLog.applyEntries(ENTRIES.slice(0, 4));
  const step = fc.oneof(
    fc.integer({min: 0, max: ENTRIES.length - 1}),
    fc.constant('snapshot' as const),
  );
  fc.assert(
    fc.property(fc.array(step, {maxLength: 40}), (steps) => {
      const log = createConfigurationLog();
      let newest = 0;
      for (const input of steps) {
        if (input === 'snapshot') log.applySnapshot(olderLog.getSnapshot());
        else log.applyEntries([ENTRIES[input]!]);
        if (log.sequence < newest) return false;
        newest = log.sequence;
      }
      log.applyEntries(ENTRIES);
      return (
        JSON.stringify([...log.getView().routes].sort()) ===
        JSON.stringify([...reference.getView().routes].sort())
      );
    }),
    {seed: 7, numRuns: 300},
  );
  t.pass();
});
