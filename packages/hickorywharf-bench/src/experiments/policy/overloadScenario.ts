import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const PEAK_SECONDS = 8;
const OVERLOAD_SECONDS = 10;

function countGood(records: readonly {isGood: boolean}[]): number {
  return records.filter(({isGood}) => isGood).length;
}

/** Load at twice the capacity, after a phase near the capacity. */
export const overloadScenario: Scenario = {
  name: 'overload',
  summary: 'twice the capacity, of the Authority, after a phase near it',
  deployment: 'authority',
  policies: [
    'chosen',
    'noAdmission',
    'firstInFirstOut',
    'random',
    'leastReported',
  ],
  mix: loadMixes.authority,
  phases: [
    {seconds: 4, capacityShare: 0.5},
    {seconds: PEAK_SECONDS, capacityShare: 0.95},
    {seconds: OVERLOAD_SECONDS, capacityShare: 2},
  ],
  workTargets: {
    'engine waste': userTargets.engineWasteInOverload,
    'extra attempts': userTargets.extraAttempts,
  },
  getFigures({records}) {
    const peak = countGood(getPhase(records, 1)) / PEAK_SECONDS;
    const goodput = countGood(getPhase(records, 2)) / OVERLOAD_SECONDS;
    return [
      {
        name: 'goodput to peak',
        value: peak === 0 ? 0 : goodput / peak,
        unit: 'ratio',
        target: userTargets.overloadGoodput,
      },
      {
        name: 'goodput',
        value: goodput,
        unit: 'requests per second',
        target: null,
      },
      {
        name: 'peak goodput',
        value: peak,
        unit: 'requests per second',
        target: null,
      },
      ...summarizeLoad(getPhase(records, 2), 'overload '),
    ];
  },
};
