import test from 'ava';
import {getStageInputs} from '../getStageInputs.ts';

const STAGES = [
  {service: 'scan', after: [], resultBytes: 1},
  {service: 'scan', after: [], resultBytes: 1},
  {service: 'colour', after: [1], resultBytes: 1},
  {service: 'portal', after: [2], resultBytes: 1},
];
const HANDLES = [['s'], ['t'], ['c1', 'c2'], ['p']];

test('a stage reads all results of the stages that it depends on', (t) => {
  t.deepEqual(getStageInputs(STAGES, HANDLES, 3), ['c1', 'c2']);
});

test('the call reads the results that no stage reads', (t) => {
  t.deepEqual(getStageInputs(STAGES, HANDLES, null), ['s', 'p']);
});
