import test from 'ava';
import {findHoldingToDrop} from '../findHoldingToDrop.ts';
import type {Holding} from '../holding.ts';

const NOW = 10_000;
const LARGE = 4_000_000;

const hold = (
  kind: Holding['kind'],
  stalledMilliseconds: number,
  bytes = LARGE,
): Holding => ({kind, bytes, progressedAt: NOW - stalledMilliseconds});

test('what has brought nothing for longest is dropped first', (t) => {
  const longest = hold('arrivingRequest', 1500);
  const holdings = [
    hold('arrivingResponse', 900),
    longest,
    hold('arrivingRequest', 0, 2 * LARGE),
    hold('unreadResponse', 3000),
  ];
  t.is(findHoldingToDrop(holdings, NOW), longest);
});

test('a caller that does not read gives way to one that sends', (t) => {
  const unread = hold('unreadResponse', 5000);
  const holdings = [hold('arrivingRequest', 100), unread];
  t.is(findHoldingToDrop(holdings, NOW), unread);
  const reading = [hold('unreadResponse', 1900), hold('arrivingResponse', 100)];
  t.is(findHoldingToDrop(reading, NOW)?.kind, 'arrivingResponse');
});

test('of what moves, the largest is dropped', (t) => {
  const largest = hold('arrivingRequest', 100, 2 * LARGE);
  const holdings = [hold('arrivingRequest', 400), largest];
  t.is(findHoldingToDrop(holdings, NOW), largest);
});

test('a small one is dropped only if there is nothing larger', (t) => {
  const small = hold('arrivingRequest', 9000, 800);
  const whole = hold('heldRequest', 0);
  t.is(findHoldingToDrop([small, whole], NOW), whole);
  t.is(findHoldingToDrop([small], NOW), small);
});

test('a whole request is dropped only if nothing else is as large', (t) => {
  const arriving = hold('arrivingRequest', 0);
  t.is(findHoldingToDrop([hold('heldRequest', 9000), arriving], NOW), arriving);
});
