import test from 'ava';
import {burstLoad} from '../burstLoad.ts';
import {chainLoad} from '../chainLoad.ts';
import {simulateStages} from '../simulateStages.ts';

const SEEDS = [1, 2, 3, 4, 5];

type Policy = Parameters<typeof simulateStages>[1];
type Outcomes = Array<ReturnType<typeof simulateStages>>;

const played = new Map<typeof burstLoad, Map<Policy, Outcomes>>();

function play(load: typeof burstLoad, policy: Policy): Outcomes {
  const outcomes = SEEDS.map((seed) => simulateStages(load, policy, seed));
  const byPolicy = played.get(load) ?? new Map<Policy, Outcomes>();
  played.set(load, byPolicy.set(policy, outcomes));
  return outcomes;
}

function getMean(
  policy: Policy,
  field: 'worth' | 'timely' | 'served' | 'refusalMilliseconds',
  load = burstLoad,
): number {
  const values = played.get(load)?.get(policy) ?? play(load, policy);
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

test('large results begun in time beat those begun at once', (t) => {
  const atOnce = getMean('groupsAtTheDoor', 'timely', chainLoad);
  const inTime = getMean('groupsInTime', 'timely', chainLoad);
  t.true(inTime > atOnce + 0.01, `${inTime} against ${atOnce}`);
  t.true(
    getMean('groupsInTime', 'worth', chainLoad) >
      getMean('groupsAtTheDoor', 'worth', chainLoad),
  );
});

test('the same seed plays the same', (t) => {
  t.deepEqual(
    simulateStages(burstLoad, 'groups', 7),
    simulateStages(burstLoad, 'groups', 7),
  );
});
