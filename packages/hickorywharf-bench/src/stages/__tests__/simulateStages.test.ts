import test from 'ava';
import {burstLoad} from '../burstLoad.ts';
import {simulateStages} from '../simulateStages.ts';

const SEEDS = [1, 2, 3, 4, 5];

function getMean(
  policy: Parameters<typeof simulateStages>[1],
  field: 'worth' | 'served' | 'refusalMilliseconds',
): number {
  const values = SEEDS.map((seed) => simulateStages(burstLoad, policy, seed));
  return values.reduce((sum, value) => sum + value[field], 0) / SEEDS.length;
}

test('calls filled across requests beat a call for each request', (t) => {
  t.true(getMean('inOrder', 'worth') > getMean('oneRequest', 'worth') + 0.1);
});

test('whole groups by urgency beat pieces in order of arrival', (t) => {
  t.true(getMean('groups', 'worth') > getMean('inOrder', 'worth') + 0.1);
});

test('refusing at the door tells callers sooner and serves no less', (t) => {
  const before = getMean('groups', 'refusalMilliseconds');
  t.true(getMean('groupsAtTheDoor', 'refusalMilliseconds') < before);
  t.true(
    getMean('groupsAtTheDoor', 'worth') >= getMean('groups', 'worth') - 0.01,
  );
});

test('the same seed plays the same', (t) => {
  t.deepEqual(
    simulateStages(burstLoad, 'groups', 7),
    simulateStages(burstLoad, 'groups', 7),
  );
});
