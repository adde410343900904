import test from 'ava';
import {getStopMargin} from '../getStopMargin.ts';

test('the margin grows with the lateness, up to a share of the grace period', (t) => {
  t.is(getStopMargin(8000, 0), 250);
  t.is(getStopMargin(8000, 100), 450);
  t.is(getStopMargin(8000, 5000), 2400);
  t.is(getStopMargin(500, 100), 250);
});
