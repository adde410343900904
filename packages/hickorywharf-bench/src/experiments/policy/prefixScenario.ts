import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';
import {withTargets} from './withTargets.ts';

/** Captions whose texts start with one of 60 long style guides. */
export const prefixScenario: Scenario = {
  name: 'prefix',
  summary: 'captions that start with one of 60 long texts, of Lusacine',
  deployment: 'lusacine',
  policies: ['chosen', 'noPrefix', 'random'],
  mix: loadMixes.lusacine
    .filter(({pipeline}) => pipeline === 'caption-batch')
    .map((kind) => ({...kind, prefixes: {count: 60, characters: 6144}})),
  phases: [
    {seconds: 6, capacityShare: 0.4},
    {seconds: 12, capacityShare: 0.6},
  ],
  getFigures: ({records}) =>
    withTargets(summarizeLoad(getPhase(records, 1)), {
      attainment: userTargets.attainment,
    }),
};
