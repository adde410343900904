import type {ConfigurationRecord} from 'hickorywharf-types/record';
import test from 'ava';
import {createHalfMoveLog} from '../createHalfMoveLog.ts';
import {getHalfAtIssueTime} from '../getHalfAtIssueTime.ts';

const RECORD = 'account/portal';

function createAccount(
  half: string | null,
  movesFrom?: number,
  keyHash = 'a',
): ConfigurationRecord {
  return {
    kind: 'account',
    name: 'portal',
    schemaVersion: 2,
    keyHash,
    requestsPerSecond: 1,
    weight: 1,
    half,
    ...(movesFrom === undefined ? {} : {movesFrom}),
  };
}

test('a key belongs to the half assigned at its issue time, after several moves', (t) => {
  const log = createHalfMoveLog();
  log.recordChange(
    RECORD,
    createAccount(null),
    createAccount('lisbon', 100),
    2,
  );
  log.recordChange(
    RECORD,
    createAccount('lisbon'),
    createAccount('other', 200),
    3,
  );
  const {halfMoves, assignmentSequence} = log.getView();
  t.is(assignmentSequence, 3);
  const moves = halfMoves.get(RECORD)!;
  t.is(getHalfAtIssueTime('other', moves, 99), null);
  t.is(getHalfAtIssueTime('other', moves, 100), 'lisbon');
  t.is(getHalfAtIssueTime('other', moves, 200), 'other');
  t.is(getHalfAtIssueTime('other', moves, null), 'other');
});

test('a move without an issue time applies to every key', (t) => {
  const log = createHalfMoveLog();
  log.recordChange(RECORD, createAccount(null), createAccount('lisbon'), 2);
  const moves = log.getView().halfMoves.get(RECORD)!;
  t.is(getHalfAtIssueTime('lisbon', moves, 0), 'lisbon');
});

test('once a half is assigned, a changed key hash counts as a move', (t) => {
  const log = createHalfMoveLog();
  log.recordChange(RECORD, createAccount(null), createAccount(null, 0, 'b'), 2);
  t.is(log.getView().assignmentSequence, 0);
  log.recordChange('route/lend', undefined, createAccount('lisbon'), 3);
  log.recordChange(RECORD, createAccount(null), createAccount(null, 0, 'b'), 4);
  t.is(log.getView().assignmentSequence, 4);
});

test('a log that copies the moves of another one has the same view', (t) => {
  const log = createHalfMoveLog();
  log.recordChange(
    RECORD,
    createAccount(null),
    createAccount('lisbon', 100),
    2,
  );
  const peer = createHalfMoveLog();
  peer.replace(log.getMoves());
  t.deepEqual(peer.getView(), log.getView());
});
