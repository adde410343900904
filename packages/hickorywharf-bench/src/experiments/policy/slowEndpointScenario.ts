import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {setFaults} from './setFaults.ts';
import {userTargets} from './userTargets.ts';

const WARM_UP_SECONDS = 4;
const BEFORE_SECONDS = 8;
/** Time within which the slow endpoint has to be detected. */
const DETECTION_SECONDS = 3;
const CAPACITY_SHARE = 0.6;
const SLOWDOWN_FACTOR = 10;

function getAttainment(records: readonly {isGood: boolean}[]): number {
  return records.filter(({isGood}) => isGood).length / records.length;
}

/** One engine becomes ten times slower, but its process keeps running. */
export const slowEndpointScenario: Scenario = {
  name: 'slow-endpoint',
  summary: 'one engine of eight becomes ten times slower, of the Authority',
  deployment: 'authority',
  policies: ['chosen', 'noEjection', 'random', 'roundRobin'],
  mix: loadMixes.authority,
  phases: [
    {seconds: WARM_UP_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: BEFORE_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: DETECTION_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: 12, capacityShare: CAPACITY_SHARE},
  ],
  faults: [
    {
      atMilliseconds: (WARM_UP_SECONDS + BEFORE_SECONDS) * 1000,
      apply: (deployment) =>
        setFaults(deployment, 'engine-1', {slowness: SLOWDOWN_FACTOR}),
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
      ...summarizeLoad(getPhase(records, 3), 'slow '),
      ...summarizeLoad(getPhase(records, 2), 'detection '),
    ];
  },
};
