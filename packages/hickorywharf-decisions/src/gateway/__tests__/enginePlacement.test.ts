import test from 'ava';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {chooseEngine} from '../chooseEngine.ts';
import {simulatePlacement} from './simulatePlacement.ts';

type Choose = Parameters<typeof simulatePlacement>[1];

const choose: Choose = ({engines, ...demand}) =>
  chooseEngine(engines, {
    ...demand,
    outputTokens: 50,
    failureDomain: 'a',
    results: [],
    resultBytes: 0,
  })!.id;

/**
 * The decision that `chooseEngine` replaced: the instance's own calls, one rate
 * for all engines, and the session before a queue.
 */
const chooseByOwnCalls: Choose = ({engines, parts}) => {
  const ids = engines.map(({id}) => id);
  const [owner] = orderByRendezvous(parts[0]!.id, ids);
  const costs = engines.map(
    ({id, own}) =>
      (own.pendingTokens + (id === owner ? 0 : parts[0]!.tokens * 3)) / 50 +
      own.running * 1.5,
  );
  return ids[costs.indexOf(Math.min(...costs))]!;
};

/** Engines that differ by a factor of 2.7, a third of each kind. */
const UNEQUAL = Array.from(
  {length: 27},
  (_, index) => [0.6, 1, 1.6][index % 3]!,
);

test('engines that differ in speed serve nearly all calls in time', (t) => {
  for (const instances of [4, 20, 68]) {
    const load = {speeds: UNEQUAL, instances, callsPerSecond: 260};
    const timely = simulatePlacement(load, choose).getTimelyShare();
    const before = simulatePlacement(load, chooseByOwnCalls).getTimelyShare();
    t.log(instances, timely, before);
    t.true(timely > 0.96, `${instances} instances: ${timely}`);
    t.true(1 - before > 3 * (1 - timely), `${instances} before: ${before}`);
  }
});

test('engines that come up empty get their part at once', (t) => {
  const load = {
    speeds: new Array<number>(16).fill(1),
    instances: 20,
    callsPerSecond: 110,
    addedAt: 8000,
    added: 4,
  };
  const {calls} = simulatePlacement(load, choose);
  const added = calls.slice(12).map((count) => count[9]! + count[10]!);
  const share = added.reduce((sum, count) => sum + count, 0) / (2 * 110);
  t.true(share > (4 / 16) * 0.7, `${share}`);
});

test('an engine that turns slow gets less, and its part again once it is well', (t) => {
  const load = {
    speeds: new Array<number>(12).fill(1),
    instances: 20,
    callsPerSecond: 90,
    getSpeed: (engine: number, now: number) =>
      engine === 0 && now > 4000 && now < 9000 ? 0.2 : 1,
  };
  const {calls, getTimelyShare} = simulatePlacement(load, choose);
  const before = simulatePlacement(load, chooseByOwnCalls);
  const count = (from: number, to: number): number =>
    calls[0]!.slice(from, to).reduce((sum, next) => sum + next, 0);
  t.true(count(5, 9) * 2 < count(0, 4), `${calls[0]}`);
  t.true(count(15, 19) > count(5, 9), `${calls[0]}`);
  const missed = 1 - getTimelyShare(4, 9);
  t.true(missed < 0.05, `${missed}`);
  t.true(1 - before.getTimelyShare(4, 9) > 2 * missed);
});
