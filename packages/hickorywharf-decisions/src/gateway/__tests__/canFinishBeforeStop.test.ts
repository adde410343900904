import test from 'ava';
import {canFinishBeforeStop} from '../canFinishBeforeStop.ts';

const FACTS = {
  graceLeftMilliseconds: 3000,
  timeLeftMilliseconds: 9000,
  isNew: false,
  isRouteOverdue: false,
  waitedMilliseconds: 0,
  expectedWaitMilliseconds: 400,
  responseMilliseconds: 900,
};

test('a call goes on if its response is whole before the end', (t) => {
  t.true(canFinishBeforeStop(FACTS));
  t.true(canFinishBeforeStop({...FACTS, graceLeftMilliseconds: 1300}));
  t.false(canFinishBeforeStop({...FACTS, graceLeftMilliseconds: 1299}));
  t.false(canFinishBeforeStop({...FACTS, responseMilliseconds: 2700}));
});

test('a call goes on if its deadline passes before the end', (t) => {
  const facts = {...FACTS, graceLeftMilliseconds: 1200};
  t.true(canFinishBeforeStop({...facts, timeLeftMilliseconds: 1200}));
  t.false(canFinishBeforeStop({...facts, timeLeftMilliseconds: 1201}));
});

test('a wait that is overdue is expected to last longer', (t) => {
  const facts = {...FACTS, isRouteOverdue: true, waitedMilliseconds: 4400};
  t.true(canFinishBeforeStop({...facts, graceLeftMilliseconds: 1900}));
  t.false(canFinishBeforeStop({...facts, graceLeftMilliseconds: 1899}));
});

test('a call that arrived in the stop waits only while forecasts hold', (t) => {
  const facts = {...FACTS, isNew: true, graceLeftMilliseconds: 9000};
  const call = {...facts, timeLeftMilliseconds: 12_000};
  t.true(canFinishBeforeStop({...call, waitedMilliseconds: 1050}));
  t.false(canFinishBeforeStop({...call, waitedMilliseconds: 1051}));
  t.false(canFinishBeforeStop({...call, isRouteOverdue: true}));
  t.true(canFinishBeforeStop({...call, isNew: false, isRouteOverdue: true}));
});

test('without a stop every call goes on', (t) => {
  const facts = {...FACTS, graceLeftMilliseconds: Infinity};
  t.true(canFinishBeforeStop({...facts, timeLeftMilliseconds: 60_000}));
});
