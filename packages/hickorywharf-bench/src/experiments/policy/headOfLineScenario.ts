import type {CallRecord} from '../../load/callRecord.ts';
import {getQuantiles} from '../../load/getQuantiles.ts';
import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const SHORT = 'catalogue-question';
const SHARE = 0.8;

function getShortLatency(records: readonly CallRecord[]): number {
  const questions = records.filter(({call}) => call.pipeline === SHORT);
  const times = questions.map(({latencyMilliseconds}) => latencyMilliseconds);
  return getQuantiles(times).percentile99;
}

/**
 * Catalogue questions alone, then the same number of them beside long
 * summaries.
 */
export const headOfLineScenario: Scenario = {
  name: 'head-of-line',
  summary: 'catalogue questions alone and beside long summaries',
  deployment: 'authority',
  policies: ['chosen', 'firstInFirstOut', 'random', 'leastReported'],
  mix: loadMixes.authority.filter(
    ({pipeline}) => pipeline === SHORT || pipeline === 'loan-summary',
  ),
  phases: [
    {seconds: 4, capacityShare: SHARE, only: SHORT},
    {seconds: 10, capacityShare: SHARE, only: SHORT},
    {seconds: 2, capacityShare: SHARE},
    {seconds: 12, capacityShare: SHARE},
  ],
  getFigures({records}) {
    const alone = getShortLatency(getPhase(records, 1));
    const beside = getShortLatency(getPhase(records, 3));
    return [
      {
        name: 'questions p99 beside summaries to alone',
        value: alone === 0 ? 0 : beside / alone,
        unit: 'ratio',
        target: userTargets.headOfLine,
      },
      {
        name: 'questions p99 alone',
        value: alone,
        unit: 'milliseconds',
        target: null,
      },
      {
        name: 'questions p99 beside',
        value: beside,
        unit: 'milliseconds',
        target: null,
      },
      ...summarizeLoad(getPhase(records, 3), 'beside '),
    ];
  },
};
