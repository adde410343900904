import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';
import {withTargets} from './withTargets.ts';

/**
 * Load near the capacity, where stale load reports send all requests to one
 * endpoint.
 */
export const laggingLoadScenario: Scenario = {
  name: 'lagging-load',
  summary: '85% of the capacity on load reports half a second old, Lusacine',
  deployment: 'lusacine',
  policies: ['chosen', 'leastReported', 'random', 'roundRobin'],
  mix: loadMixes.lusacine,
  phases: [
    {seconds: 4, capacityShare: 0.5},
    {seconds: 12, capacityShare: 0.85},
  ],
  getFigures: ({records}) =>
    withTargets(summarizeLoad(getPhase(records, 1)), {
      attainment: userTargets.attainment,
    }),
};
