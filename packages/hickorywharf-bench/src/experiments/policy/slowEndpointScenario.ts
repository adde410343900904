import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {setFaults} from './setFaults.ts';
import {userTargets} from './userTargets.ts';
import {withTargets} from './withTargets.ts';

const WARM_UP_SECONDS = 4;
const BEFORE_SECONDS = 8;
/** Time in which the slow endpoint has to be found. */
const DETECTION_SECONDS = 3;
const SHARE = 0.6;
const SLOWNESS = 10;

function getAttainment(records: readonly {isGood: boolean}[]): number {
  return records.filter(({isGood}) => isGood).length / records.length;
}

/** One engine becomes ten times slower and stays alive. */
export const slowEndpointScenario: Scenario = {
  name: 'slow-endpoint',
  summary: 'one engine of eight becomes ten times slower, of the Authority',
  deployment: 'authority',
  policies: ['chosen', 'noEjection', 'random', 'roundRobin'],
  mix: loadMixes.authority,
  phases: [
    {seconds: WARM_UP_SECONDS, capacityShare: SHARE},
    {seconds: BEFORE_SECONDS, capacityShare: SHARE},
    {seconds: DETECTION_SECONDS, capacityShare: SHARE},
    {seconds: 12, capacityShare: SHARE},
  ],
  faults: [
    {
      atMilliseconds: (WARM_UP_SECONDS + BEFORE_SECONDS) * 1000,
      apply: (deployment) =>
        setFaults(deployment, 'engine-1', {slowness: SLOWNESS}),
    },
  ],
  getFigures({records}) {
    const before = getAttainment(getPhase(records, 1));
    const after = getAttainment(getPhase(records, 3));
    return [
      {
        name: 'attainment lost',
        value: before - after,
        unit: 'share',
        target: userTargets.slowEndpointLoss,
      },
      ...withTargets(summarizeLoad(getPhase(records, 3), 'slow '), {}),
      ...summarizeLoad(getPhase(records, 2), 'detection '),
    ];
  },
};
