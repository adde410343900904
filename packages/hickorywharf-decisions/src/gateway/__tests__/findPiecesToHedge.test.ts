import test from 'ava';
import {findPiecesToHedge} from '../findPiecesToHedge.ts';
import {MAXIMUM_PIECE_SENDS} from '../maximumPieceSends.ts';

const PIECE = {
  isSettled: false,
  isQueued: false,
  sends: 1,
  calls: [{isOverdue: true}],
  deadlineAt: 5000,
  workMilliseconds: 10,
};

const mayHedge = (piece: Partial<typeof PIECE>, now = 1000): boolean =>
  findPiecesToHedge([{...PIECE, ...piece}], now, 200).length === 1;

test('a piece may be made once more only while all its calls are overdue', (t) => {
  t.true(mayHedge({}));
  t.true(mayHedge({calls: [{isOverdue: true}, {isOverdue: true}]}));
  t.false(mayHedge({calls: [{isOverdue: true}, {isOverdue: false}]}));
});

test('a piece that is settled, queued or was sent too often is not made once more', (t) => {
  t.false(mayHedge({isSettled: true}));
  t.false(mayHedge({isQueued: true}));
  t.true(mayHedge({sends: MAXIMUM_PIECE_SENDS - 1}));
  t.false(mayHedge({sends: MAXIMUM_PIECE_SENDS}));
});

test('a piece is not made once more if a call would end after its deadline', (t) => {
  t.true(mayHedge({}, 4789));
  t.false(mayHedge({}, 4790));
});

test('only the pieces that may be made once more are picked', (t) => {
  const pieces = [PIECE, {...PIECE, isSettled: true}, {...PIECE, sends: 2}];
  t.deepEqual(findPiecesToHedge(pieces, 1000, 200), [pieces[0]!, pieces[2]!]);
});
