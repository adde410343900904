import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import {getRecoverySeconds} from './getRecoverySeconds.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const BEFORE_SECONDS = [3, 5] as const;
const BURST_SECONDS = 10;
const AFTER_SECONDS = 12;
const MILLISECONDS_PER_SECOND = 1000;
const BURST_END_MILLISECONDS =
  (BEFORE_SECONDS[0] + BEFORE_SECONDS[1] + BURST_SECONDS) *
  MILLISECONDS_PER_SECOND;
/** Small, so that the test machine can handle ten times as much. */
const USUAL_SHARE = 0.3;

/** A burst of ten times the usual load for ten seconds. */
export const burstScenario: Scenario = {
  name: 'burst',
  summary: 'ten times the usual load for ten seconds, of Lusacine',
  deployment: 'lusacine',
  policies: ['chosen', 'noAdmission', 'roundRobin'],
  mix: loadMixes.lusacine,
  phases: [
    {seconds: BEFORE_SECONDS[0], capacityShare: USUAL_SHARE},
    {seconds: BEFORE_SECONDS[1], capacityShare: USUAL_SHARE},
    {seconds: BURST_SECONDS, capacityShare: USUAL_SHARE * 10},
    {seconds: AFTER_SECONDS, capacityShare: USUAL_SHARE},
  ],
  getFigures({records}) {
    const before = getPhase(records, 1);
    const good = before.filter(({isGood}) => isGood).length;
    const targetAttainment = Math.min(
      userTargets.attainment.atLeast,
      good / before.length,
    );
    return [
      {
        name: 'recovery',
        value: getRecoverySeconds(
          records,
          BURST_END_MILLISECONDS,
          targetAttainment,
        ),
        unit: 'seconds',
        target: userTargets.recoverySeconds,
      },
      ...summarizeLoad(before, 'before '),
      ...summarizeLoad(getPhase(records, 2), 'burst '),
      ...summarizeLoad(getPhase(records, 3), 'after '),
    ];
  },
};
