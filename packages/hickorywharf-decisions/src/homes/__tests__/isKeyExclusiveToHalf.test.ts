import test from 'ava';
import {createHomeMap} from '../createHomeMap.ts';
import type {HomeRecord} from '../homeRecord.ts';
import {isKeyExclusiveToHalf} from '../isKeyExclusiveToHalf.ts';

const KEY_PLACEMENT = {pool: 'desks', half: 'lisbon', part: 0, issueTime: 600};
const MOVE_SEQUENCE = 7;

const other: HomeRecord['intervals'][number] = {
  pool: 'desks',
  part: 0,
  half: null,
  home: 'desk-2',
  incarnation: 'one',
  epoch: 2,
  from: 500,
  until: 900,
  assignmentSequence: MOVE_SEQUENCE,
  released: false,
  slot: '',
  anchor: {issueTime: 0, monotonic: 0},
};

function check(
  changes: Partial<typeof other>,
  assignmentSequence = MOVE_SEQUENCE,
): boolean {
  const intervals = [{...other, ...changes}];
  const homes = {assignmentSequence, intervals, earlier: []};
  return isKeyExclusiveToHalf(
    createHomeMap(homes, 1),
    KEY_PLACEMENT,
    MOVE_SEQUENCE,
  );
}

test('a moved key runs only once each home of another half knows the move', (t) => {
  t.true(check({}));
  t.false(check({assignmentSequence: MOVE_SEQUENCE - 1}));
  t.true(check({assignmentSequence: MOVE_SEQUENCE - 1, until: 600}));
});

test('a later home must know the move, and unlisted intervals forbid a run', (t) => {
  t.false(check({}, MOVE_SEQUENCE - 1));
  t.false(check({from: 601}));
  t.true(check({half: 'lisbon', assignmentSequence: 0}));
});
