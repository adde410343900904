import test from 'ava';
import {createSchedule} from '../createSchedule.ts';
import {loadMixes} from '../loadMixes.ts';

const OPTIONS = {
  seed: 5,
  phases: [
    {seconds: 10, ratePerSecond: 50},
    {seconds: 10, ratePerSecond: 500},
  ],
  mix: loadMixes.authority,
  accounts: {small: 1, large: 3},
};

test('the same seed gives the same schedule, another seed another', (t) => {
  const schedule = createSchedule(OPTIONS);
  t.deepEqual(createSchedule(OPTIONS), schedule);
  t.notDeepEqual(createSchedule({...OPTIONS, seed: 6}), schedule);
});

test('arrivals follow the rates of the phases and the shares of the accounts', (t) => {
  const schedule = createSchedule(OPTIONS);
  const first = schedule.filter(({phase}) => phase === 0).length;
  const second = schedule.filter(({phase}) => phase === 1).length;
  t.true(Math.abs(first - 500) < 100);
  t.true(Math.abs(second - 5000) < 350);
  const large = schedule.filter(({account}) => account === 'large').length;
  t.true(Math.abs(large / schedule.length - 0.75) < 0.05);
});
