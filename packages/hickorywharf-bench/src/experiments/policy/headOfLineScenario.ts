import type {CallRecord} from '../../load/callRecord.ts';
import {getQuantiles} from '../../load/getQuantiles.ts';
import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const SHORT_PIPELINE = 'catalogue-question';
const CAPACITY_SHARE = 0.8;

function getShortLatency(records: readonly CallRecord[]): number {
  const questions = records.filter(
    ({call}) => call.pipeline === SHORT_PIPELINE,
  );
  const times = questions.map(({latencyMilliseconds}) => latencyMilliseconds);
  return getQuantiles(times).percentile99;
}

/**
 * Short catalogue questions alone, then the same number of them among long
 * summaries.
 */
export const headOfLineScenario: Scenario = {
  name: 'head-of-line',
  summary: 'catalogue questions alone and beside long summaries',
  deployment: 'authority',
  policies: ['chosen', 'firstInFirstOut', 'random', 'leastReported'],
  mix: loadMixes.authority.filter(
    ({pipeline}) => pipeline === SHORT_PIPELINE || pipeline === 'loan-summary',
  ),
  phases: [
    {seconds: 4, capacityShare: CAPACITY_SHARE, only: SHORT_PIPELINE},
    {seconds: 10, capacityShare: CAPACITY_SHARE, only: SHORT_PIPELINE},
    {seconds: 2, capacityShare: CAPACITY_SHARE},
    {seconds: 12, capacityShare: CAPACITY_SHARE},
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
