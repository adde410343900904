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

test('calls in progress stay connected', (t) => {
  const connections = [
    {waitsFor: 'system', progressedAt: 0},
    {waitsFor: 'system', progressedAt: NOW},
  ] as const;
  t.is(findConnectionToClose(connections, NOW), undefined);
});

test('a caller that still reads is disconnected only if there is no other', (t) => {
  const reading = {waitsFor: 'reader', progressedAt: NOW - 1900} as const;
  const fresh = {waitsFor: 'request', progressedAt: NOW} as const;
  t.is(findConnectionToClose([reading, fresh], NOW), fresh);
  const newer = {waitsFor: 'reader', progressedAt: NOW} as const;
  t.is(findConnectionToClose([newer, reading], NOW), reading);
});
