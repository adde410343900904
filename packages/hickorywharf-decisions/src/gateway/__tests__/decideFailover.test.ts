import test from 'ava';
import {decideFailover} from '../decideFailover.ts';

const FACTS = {
  mayRunAgain: true,
  hasEndpoint: true,
  hasBudget: true,
  hasFreshKey: true,
  isQuarantined: false,
  needsStages: false,
  mayRunStages: true,
  timeLeftMilliseconds: 3000,
  neededMilliseconds: 150,
} as const;

test('a call that has all it needs elsewhere is ready to leave', (t) => {
  t.deepEqual(decideFailover(FACTS), {tag: 'ready'});
  t.deepEqual(decideFailover({...FACTS, needsStages: true}), {
    tag: 'runStages',
  });
});

for (const [missing, facts] of [
  ['noRun', {mayRunAgain: false}],
  ['time', {timeLeftMilliseconds: 150}],
  ['noEndpoint', {hasEndpoint: false}],
  ['budget', {hasBudget: false}],
  ['keys', {hasFreshKey: false}],
  ['quarantine', {isQuarantined: true}],
  ['stages', {needsStages: true, mayRunStages: false}],
  // Stages are not run for a call that could not leave with their results.
  ['budget', {needsStages: true, hasBudget: false}],
] as const) {
  test(`a call stays at a silent endpoint with ${JSON.stringify(facts)}`, (t) => {
    t.deepEqual(decideFailover({...FACTS, ...facts}), {tag: 'wait', missing});
  });
}
