import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';
import {withTargets} from './withTargets.ts';

/** A steady load at 70% of the pools' capacity. */
export const steadyScenario: Scenario = {
  name: 'steady',
  summary: 'a steady load at 70% of the capacity, of the Authority',
  deployment: 'authority',
  policies: ['chosen', 'random', 'roundRobin', 'leastReported'],
  mix: loadMixes.authority,
  phases: [
    {seconds: 4, capacityShare: 0.5},
    {seconds: 10, capacityShare: 0.7},
  ],
  getFigures: ({records}) =>
    withTargets(summarizeLoad(records.filter(({call}) => call.phase > 0)), {
      attainment: userTargets.attainment,
      'first token p95': userTargets.firstTokenMilliseconds,
      'token gap p95': userTargets.tokenGapMilliseconds,
    }),
};
