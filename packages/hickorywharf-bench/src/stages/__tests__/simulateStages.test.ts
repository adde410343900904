import test from 'ava';
import {burstLoad} from '../burstLoad.ts';
import {chainLoad} from '../chainLoad.ts';
import {competingLoad} from '../competingLoad.ts';
import {simulateStages} from '../simulateStages.ts';

const SEEDS = [1, 2, 3, 4, 5];

type Policy = Parameters<typeof simulateStages>[1];
type Outcomes = Array<ReturnType<typeof simulateStages>>;

const outcomesByLoad = new Map<typeof burstLoad, Map<Policy, Outcomes>>();

function simulateSeeds(load: typeof burstLoad, policy: Policy): Outcomes {
  const outcomes = SEEDS.map((seed) => simulateStages(load, policy, seed));
  const byPolicy = outcomesByLoad.get(load) ?? new Map<Policy, Outcomes>();
  outcomesByLoad.set(load, byPolicy.set(policy, outcomes));
  return outcomes;
}

function getMean(
  policy: Policy,
  field: 'worth' | 'timely' | 'served' | 'refusalMilliseconds',
  load = burstLoad,
): number {
  const values =
    outcomesByLoad.get(load)?.get(policy) ?? simulateSeeds(load, policy);
  return values.reduce((sum, value) => sum + value[field], 0) / SEEDS.length;
}

test('calls with pieces of several requests beat one request a call', (t) => {
  t.true(getMean('inOrder', 'worth') > getMean('oneRequest', 'worth') + 0.1);
});

test('whole groups by priority and target beat pieces by arrival', (t) => {
  t.true(getMean('groups', 'worth') > getMean('inOrder', 'worth') + 0.1);
});

test('admission control refuses sooner and serves no less', (t) => {
  const beforeAdmission = getMean('groups', 'refusalMilliseconds');
  t.true(getMean('groupsAtTheDoor', 'refusalMilliseconds') < beforeAdmission);
  t.true(
    getMean('groupsAtTheDoor', 'worth') >= getMean('groups', 'worth') - 0.01,
  );
});

test('delaying stages of large results beats starting them at once', (t) => {
  const immediate = getMean('groupsAtTheDoor', 'timely', chainLoad);
  const delayed = getMean('groupsInTime', 'timely', chainLoad);
  t.true(delayed > immediate + 0.01, `${delayed} against ${immediate}`);
  t.true(
    getMean('groupsInTime', 'worth', chainLoad) >
      getMean('groupsAtTheDoor', 'worth', chainLoad),
  );
});

test('no account pays for the burst of another', (t) => {
  const getSmall = (policy: Policy): number[][] =>
    simulateSeeds(competingLoad, policy).map(({servedByKind}) =>
      Object.entries(servedByKind).flatMap(([account, share]) =>
        account === 'large' ? [] : [share],
      ),
    );
  const getAverage = (shares: number[]): number =>
    shares.reduce((sum, share) => sum + share, 0) / shares.length;
  const firstCome = getSmall('groupsAtTheDoor');
  const fair = getSmall('fairGroups');
  t.true(firstCome.every((shares) => getAverage(shares) < 0.8));
  t.true(fair.every((shares) => getAverage(shares) > 0.9));
  t.true(Math.min(...firstCome.flat()) < 0.5);
  t.true(Math.min(...fair.flat()) > 0.85);
  t.true(
    getMean('fairGroups', 'worth', competingLoad) >
      getMean('groupsAtTheDoor', 'worth', competingLoad) + 0.2,
  );
});

test('without competing accounts, shares change nothing', (t) => {
  for (const load of [burstLoad, chainLoad]) {
    t.deepEqual(
      simulateStages(load, 'fairGroups', 3),
      simulateStages(load, 'groupsAtTheDoor', 3),
    );
  }
});

test('targets that leave time for the waits of later stages beat those that do not', (t) => {
  const [without, counted] = (['groupsInTime', 'groupsWithWaits'] as const).map(
    (policy) => getMean(policy, 'timely'),
  ) as [number, number];
  t.true(counted > without + 0.01, `${counted} against ${without}`);
  t.true(
    getMean('groupsWithWaits', 'worth') >
      getMean('groupsInTime', 'worth') + 0.005,
  );
  t.true(
    getMean('groupsWithWaits', 'worth', chainLoad) >
      getMean('groupsInTime', 'worth', chainLoad) - 0.002,
  );
});

test('the same seed gives the same result', (t) => {
  t.deepEqual(
    simulateStages(burstLoad, 'groups', 7),
    simulateStages(burstLoad, 'groups', 7),
  );
});
