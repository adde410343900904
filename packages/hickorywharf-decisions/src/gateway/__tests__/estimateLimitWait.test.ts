import test from 'ava';
import {estimateLimitWait} from '../estimateLimitWait.ts';

const endpoint = (callsPerSecond: number, waitMilliseconds: number) => ({
  callsPerSecond,
  waitMilliseconds,
});

test('a service without a limit at one endpoint, or without endpoints, delays no call', (t) => {
  t.is(estimateLimitWait([endpoint(1, 900), endpoint(Infinity, 0)], 5), 0);
  t.is(estimateLimitWait([], 5), 0);
});

test('calls ahead use the limits of all endpoints', (t) => {
  t.is(estimateLimitWait([endpoint(1, 900), endpoint(3, 100)], 0), 100);
  t.is(estimateLimitWait([endpoint(1, 900), endpoint(3, 100)], 8), 2100);
});

test('an instance that may use no limit never gets room', (t) => {
  t.is(estimateLimitWait([endpoint(0, Infinity)], 0), Infinity);
});
