import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';
import {withTargets} from './withTargets.ts';

const LARGE = 'large';
const OTHERS = ['first', 'second', 'third', 'fourth'];
/** The fair share of the capacity is 0.2; four accounts use 70% of theirs. */
const OTHER_ACCOUNT_SHARE = 0.14;
const LARGE_FACTOR = 10;
const TOTAL_SHARE = OTHER_ACCOUNT_SHARE * OTHERS.length + 0.2 * LARGE_FACTOR;

/** One account offers ten times its fair share, four stay within theirs. */
export const fairnessScenario: Scenario = {
  name: 'fairness',
  summary: 'one account offers ten times its share beside four within theirs',
  deployment: 'authority',
  policies: ['chosen', 'firstInFirstOut', 'noAdmission', 'random'],
  mix: loadMixes.authority,
  accounts: {
    ...Object.fromEntries(OTHERS.map((name) => [name, OTHER_ACCOUNT_SHARE])),
    [LARGE]: 0.2 * LARGE_FACTOR,
  },
  phases: [
    {seconds: 4, capacityShare: 0.5},
    {seconds: 3, capacityShare: TOTAL_SHARE},
    {seconds: 10, capacityShare: TOTAL_SHARE},
  ],
  getFigures({records}) {
    const measured = getPhase(records, 2);
    const others = measured.filter(({call}) => call.account !== LARGE);
    const large = measured.filter(({call}) => call.account === LARGE);
    return [
      ...withTargets(summarizeLoad(others, 'others '), {
        'others attainment': userTargets.attainment,
      }),
      ...summarizeLoad(large, 'large '),
    ];
  },
};
