import test from 'ava';
import fastCheck from 'fast-check';
import {createHomesModel} from './createHomesModel.ts';

const SEED = 20_261;
const RUNS = 800;

const step = fastCheck.record({
  operation: fastCheck.nat(),
  process: fastCheck.nat(7),
  choice: fastCheck.nat(1000),
  amount: fastCheck.nat(1000),
});

test('no key runs twice under arbitrary faults of homes, entries, clocks and store', (t) => {
  let runs = 0;
  let moved = 0;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(step, {minLength: 100, maxLength: 600, size: 'max'}),
      (steps) => {
        const model = createHomesModel();
        steps.forEach(model.applyStep);
        runs += model.runs.size;
        moved += model.getMovedRuns();
        for (const [key, processes] of model.runs) {
          if (processes.length > 1) {
            throw new Error(`${key} ran at ${processes.join(', ')}`);
          }
        }
      },
    ),
    // Shrinking takes minutes: to shrink, rerun the printed seed and path
    // without endOnFailure.
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
  t.log(`${runs} keys ran, ${moved} of them after a move between halves`);
  // Guards against a model in which keys rarely run, or never after moves.
  t.true(runs > RUNS);
  t.true(moved > RUNS / 10);
});
