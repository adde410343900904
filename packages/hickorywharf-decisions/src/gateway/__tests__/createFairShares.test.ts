import test from 'ava';
import fc from 'fast-check';
import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import {createFairShares} from '../createFairShares.ts';
import {getFairLevel} from '../getFairLevel.ts';

type FairShares = ReturnType<typeof createFairShares>;

/** Sends what instances tell to the first of them, and the sum to the others. */
function exchange([hub, ...others]: readonly FairShares[], now: number): void {
  others.forEach((shares, index) => {
    const report = shares.createReport(now);
    if (report !== null) hub!.recordReport(`${index}`, report, now);
  });
  const sum = hub!.createSum(now);
  for (const shares of others) {
    if (sum !== null) shares.recordSum('hub', sum, now);
  }
}

function createInstances(count: number): FairShares[] {
  return Array.from({length: count}, createFairShares);
}

test('a level serves small demand whole and lends the rest', (t) => {
  const demand = fc.record({
    milliseconds: fc.nat(10_000),
    accounts: fc.integer({min: 1, max: 50}),
  });
  fc.assert(
    fc.property(fc.array(demand), fc.nat(100_000), (demands, room) => {
      const level = getFairLevel(room, demands);
      const get = (limit: number) =>
        demands.reduce(
          (sum, {milliseconds, accounts}) =>
            sum + Math.min(milliseconds, limit) * accounts,
          0,
        );
      return level === Infinity
        ? get(Infinity) <= room
        : Math.abs(get(level) - room) < 0.001;
    }),
  );
  t.pass();
});

test('room is lent while nothing is refused, and taken back by a first refusal', (t) => {
  const shares = createFairShares();
  for (let call = 0; call < 50; call += 1) shares.startCall('large', 400);
  const end = shares.startCall('small', 400);
  t.false(shares.getStanding('large', 0).isOver);
  shares.recordRefusal('small', 400, 100);
  t.true(shares.getStanding('large', 100).isOver);
  t.false(shares.getStanding('small', 100).isOver);
  t.false(shares.getStanding('new', 100).isOver);
  end();
  t.false(shares.getStanding('large', 20_000).isOver, 'the refusal is old');
});

test('callers who return more often get no larger share', (t) => {
  const [standing, hurried] = [0, 500].map((retries) => {
    const shares = createFairShares();
    for (let call = 0; call < 20; call += 1) {
      shares.startCall('large', 400);
      shares.startCall(`small-${call % 10}`, 400);
    }
    shares.recordRefusal('small-1', 400, 0);
    for (let call = 0; call < retries; call += 1) {
      shares.recordRefusal('large', 400, 0);
    }
    return shares.getStanding('large', 10);
  });
  t.deepEqual(hurried, standing);
  t.true(standing!.isOver);
});

test('work counts over all instances, once, wherever it is asked for', (t) => {
  const instances = createInstances(26);
  const ends = instances.map((shares) => shares.startCall('large', 100));
  for (const shares of instances) shares.startCall('small', 20);
  instances[3]!.recordRefusal('small', 200, 0);
  for (const now of [0, 250, 500]) exchange(instances, now);
  for (const shares of instances) {
    const {instances: count, ...standing} = shares.getStanding('large', 500);
    t.is(count, 26);
    t.is(standing.workMilliseconds, 2600);
    t.true(standing.isOver);
  }
  // What ends here counts no more here, before peers know.
  ends[9]!();
  const {workMilliseconds} = instances[9]!.getStanding('large', 510);
  t.is(workMilliseconds, 2500);
});

test('the figures of a lost instance, and of a lost dispatcher, age out', (t) => {
  const instances = createInstances(3);
  for (const shares of instances) shares.startCall('large', 100);
  instances[1]!.recordRefusal('small', 100, 0);
  for (const now of [0, 250, 500]) exchange(instances, now);
  const [hub, second, third] = instances as [
    FairShares,
    FairShares,
    FairShares,
  ];
  for (let now = 750; now < 3000; now += 250) exchange([hub, second], now);
  t.is(hub.getStanding('large', 2750).workMilliseconds, 200);
  t.is(second.getStanding('large', 2750).workMilliseconds, 200);
  t.is(third.getStanding('large', 2750).workMilliseconds, 100);
});

test('a key that moves takes its calls in progress nowhere', (t) => {
  const shares = createFairShares();
  const end = shares.startCall('before', 300);
  shares.startCall('after', 100);
  end();
  end();
  t.is(shares.getStanding('before', 0).workMilliseconds, 0);
  t.is(shares.getStanding('after', 0).workMilliseconds, 100);
});

test('nothing is told while nothing is refused, and that ends by itself', (t) => {
  const instances = createInstances(3);
  for (const shares of instances) shares.startCall('large', 100);
  exchange(instances, 0);
  t.is(instances[1]!.createReport(0), null);
  t.is(instances[0]!.createSum(0), null);
  instances[1]!.recordRefusal('large', 100, 0);
  for (let now = 0; now < 5000; now += 250) {
    exchange(instances, now);
    if (now > 500) t.not(instances[2]!.createReport(now), null);
  }
  for (let now = 5000; now < 8000; now += 250) exchange(instances, now);
  for (const shares of instances) t.is(shares.createReport(8000), null);
});

test('a report names the largest accounts, and sums up the others', (t) => {
  const shares = createFairShares();
  for (let index = 0; index < 1300; index += 1) {
    shares.startCall(`account-${index}`, index + 1);
  }
  shares.recordRefusal('account-7', 10, 0);
  const report = shares.createReport(0)!;
  t.is(report.accounts.length, 16);
  t.is(report.accounts[0]![0], 'account-1299');
  t.is(report.otherAccounts, 1284);
  const named = report.accounts.reduce(
    (sum, [, work]) => sum + work,
    report.otherWorkMilliseconds,
  );
  t.is(named, (1300 * 1301) / 2);
});

test('whatever figures peers send, standings stay sound', (t) => {
  const figure = fc.oneof(
    fc.double(),
    fc.integer(),
    fc.constantFrom(NaN, -1, Infinity, 1e308, null, 'x', {}),
  ) as fc.Arbitrary<number>;
  const report: fc.Arbitrary<AccountWorkReport> = fc.record({
    instances: figure,
    ageMilliseconds: figure,
    refusedAgeMilliseconds: figure,
    accounts: fc.array(
      fc.tuple(
        fc.constantFrom('small', 'large', '', '__proto__', 'x'),
        figure,
        figure,
      ),
      {maxLength: 100},
    ),
    otherAccounts: figure,
    otherWorkMilliseconds: figure,
    otherRefusedMilliseconds: figure,
  });
  fc.assert(
    fc.property(report, report, (first, second) => {
      const shares = createFairShares();
      shares.startCall('small', 100);
      shares.recordRefusal('large', 100, 0);
      shares.recordReport('a', first, 0);
      shares.recordSum('b', second, 0);
      const idle = shares.getStanding('idle', 10);
      const {workMilliseconds, shareMilliseconds} = shares.getStanding(
        'small',
        10,
      );
      return (
        !idle.isOver &&
        workMilliseconds >= 100 &&
        shareMilliseconds >= 0 &&
        Object.values(shares.createSum(10)!).every(
          (value) => typeof value !== 'number' || Number.isFinite(value),
        ) &&
        !shares.getStanding('small', 30_000).isOver
      );
    }),
  );
  t.pass();
});
