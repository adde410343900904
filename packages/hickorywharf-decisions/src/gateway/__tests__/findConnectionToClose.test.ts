import test from 'ava';
import {findConnectionToClose} from '../findConnectionToClose.ts';

const NOW = 10_000;

test('the caller that has brought nothing for longest is disconnected', (t) => {
  const oldest = {waitsFor: 'request', progressedAt: 1000} as const;
  const connections = [
    {waitsFor: 'request', progressedAt: 2000},
    oldest,
    {waitsFor: 'reader', progressedAt: 3000},
    {waitsFor: 'system', progressedAt: 0},
  ] as const;
  t.is(findConnectionToClose(connections, NOW), oldest);
});

test('calls in progress and callers that still read stay connected', (t) => {
  const connections = [
    {waitsFor: 'system', progressedAt: 0},
    {waitsFor: 'reader', progressedAt: NOW - 1900},
  ] as const;
  t.is(findConnectionToClose(connections, NOW), undefined);
});
