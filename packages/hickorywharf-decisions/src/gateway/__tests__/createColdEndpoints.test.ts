import test from 'ava';
import fc from 'fast-check';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {createColdEndpoints} from '../createColdEndpoints.ts';
import {getColdShare} from '../getColdShare.ts';

const CALLS_PER_SECOND = 16;
const BOUND = {overageRatio: 1.5, slackCalls: 5};
const MAXIMUM_CALLS = CALLS_PER_SECOND * 1.5 + 5;
const COLD_MILLISECONDS = 3000;
const ENGINES = {
  name: 'engines',
  coldStart: {
    milliseconds: COLD_MILLISECONDS,
    callsPerSecond: CALLS_PER_SECOND,
  },
  stage: null,
};
const ENDPOINT = {id: 'engine-1', service: 'engines', startedAt: 1};
const LIST_MILLISECONDS = 2000;
/** A registration that is not renewed ends after this time. */
const REGISTRATION_MILLISECONDS = 12_000;
const STEP_MILLISECONDS = 10;
/** A domain comes back at this time, and its lists reach all within the delay. */
const COLD_AT = 20_000;
const NOTICE_MILLISECONDS = 300;
/** Interval at which an endpoint writes how much longer it is cold. */
const WRITE_MILLISECONDS = 500;

interface Plan {
  readonly seed: number;
  readonly instances: number;
  /** Endpoints that come back; all affinity points at them. */
  readonly cold: number;
  /** Calls that all instances get in each second. */
  readonly demand: number;
  /** Whether calls whose endpoint has no room take another that is cold. */
  readonly isPressed: boolean;
  /** Share of the instances that restart, and that are cut off from the store. */
  readonly restarted?: number;
  readonly cutOff?: number;
  /** When the endpoints turn cold, in milliseconds after the first time. */
  readonly coldTimes?: readonly number[];
  /** Whether nothing limits the calls, as before. */
  readonly isUnlimited?: boolean;
}

/** What the entry of an endpoint states that turns cold at these times. */
function listWrites(coldTimes: readonly number[]) {
  const writes: Array<{at: number; coldMilliseconds: number}> = [];
  coldTimes.forEach((coldAt, index) => {
    const end = coldTimes[index + 1] ?? coldAt + COLD_MILLISECONDS;
    for (let at = coldAt; at < end; at += WRITE_MILLISECONDS) {
      writes.push({at, coldMilliseconds: COLD_MILLISECONDS - (at - coldAt)});
    }
  });
  return writes;
}

/** The most calls in one second. */
function countInWorstSecond(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  let first = 0;
  return sorted.reduce((worst, at, last) => {
    while (sorted[first]! <= at - 1000) first += 1;
    return Math.max(worst, last - first + 1);
  }, 0);
}

/**
 * Plays the calls of all instances, each with its own copy of the decision and
 * its own view of the lists, and returns the arrivals at each endpoint while it
 * is cold.
 */
function play(plan: Plan): number[][] {
  const {instances, cold, demand, restarted = 0, cutOff = 0} = plan;
  const random = createRandom(plan.seed);
  const coldTimes = plan.coldTimes ?? [0];
  const writes = listWrites(coldTimes);
  const names = Array.from({length: instances}, (_value, index) => `i${index}`);
  const start = (name: string, index: number) => {
    const core = createColdEndpoints(name, () => BOUND);
    core.setServices([ENGINES]);
    core.recordEndpoints([], {monotonic: 0, wall: 0});
    const isCut = index < cutOff * instances;
    return {core, isCut, delay: random() * NOTICE_MILLISECONDS, seen: -1};
  };
  const all = names.map(start);
  const arrivals: number[][] = Array.from({length: cold}, () => []);
  const end = COLD_AT + coldTimes.at(-1)! + COLD_MILLISECONDS;
  const cutAt = COLD_AT - REGISTRATION_MILLISECONDS - 3000;
  for (let now = 0; now < end; now += STEP_MILLISECONDS) {
    const sinceCold = now - COLD_AT;
    names.forEach((name, index) => {
      // One after the other, before and while the endpoints are cold.
      const place = instances - 1 - index;
      const restartAt = COLD_AT - 2000 + place * 150;
      if (place < restarted * instances && now - restartAt === 0) {
        all[index] = start(name, index);
      }
      const {core, isCut, delay} = all[index]!;
      const isAway = isCut && now > cutAt;
      if ((now + index * 250) % LIST_MILLISECONDS === 0 && !isAway) {
        const isGone = now > cutAt + REGISTRATION_MILLISECONDS;
        const listed = names.filter((_name, i) => !all[i]!.isCut || !isGone);
        const list = listed.map((other) => ({name: other, capacity: 1}));
        core.recordInstances(list, now);
      }
      const seen = writes.findLastIndex(({at}) => sinceCold >= at + delay);
      if (seen <= all[index]!.seen) return;
      all[index]!.seen = seen;
      const {coldMilliseconds} = writes[seen]!;
      const endpoints = arrivals.map((_value, i) => ({
        ...ENDPOINT,
        id: `engine-${i}`,
        coldMilliseconds,
      }));
      core.recordEndpoints(endpoints, {monotonic: now, wall: now});
    });
    if (sinceCold < 0) continue;
    const calls = (demand * STEP_MILLISECONDS) / 1000;
    const count = Math.floor(calls) + (random() < calls % 1 ? 1 : 0);
    for (let call = 0; call < count; call += 1) {
      const {core, seen} = all[Math.floor(random() * instances)]!;
      // An incarnation that is not listed gets no calls.
      if (seen < 0) continue;
      const preferred = Math.floor(random() * cold);
      const order = plan.isPressed
        ? arrivals.map((_value, i) => (preferred + i) % cold)
        : [preferred];
      const taken = order.find((i) => {
        const endpoint = {...ENDPOINT, id: `engine-${i}`};
        if (plan.isUnlimited !== true && core.getWait(endpoint, now) > 0) {
          return false;
        }
        core.recordCall(endpoint, now, now);
        return true;
      });
      if (taken !== undefined) arrivals[taken]!.push(now + random() * 20);
    }
  }
  return arrivals;
}

/** Calls per second of the endpoint that got fewest, once all know of it. */
function getLowestRate(arrivals: readonly number[][]): number {
  const from = COLD_AT + NOTICE_MILLISECONDS;
  const counts = arrivals.map(
    (times) => times.filter((at) => at >= from).length,
  );
  const seconds = (COLD_MILLISECONDS - NOTICE_MILLISECONDS) / 1000;
  return Math.min(...counts) / seconds;
}

const getWorst = (arrivals: readonly number[][]): number =>
  Math.max(...arrivals.map(countInWorstSecond));

for (const instances of [26, 300]) {
  const plan = {
    seed: instances,
    instances,
    cold: 6,
    // Instances without room for one of their calls send it elsewhere.
    demand: instances * 10,
    isPressed: true,
  };
  test(`${instances} instances keep the bound of a domain that is back`, (t) => {
    const arrivals = play(plan);
    t.log(getWorst(arrivals), getLowestRate(arrivals));
    t.true(getWorst(arrivals) <= MAXIMUM_CALLS / 2);
    t.true(getLowestRate(arrivals) >= CALLS_PER_SECOND * 0.65);
    const unlimited = play({...plan, isUnlimited: true});
    t.true(getWorst(unlimited) > MAXIMUM_CALLS);
  });

  test(`${instances} instances of which some restart or are cut off keep the bound`, (t) => {
    const arrivals = play({...plan, restarted: 0.15, cutOff: 0.3});
    t.log(getWorst(arrivals), getLowestRate(arrivals));
    t.true(getWorst(arrivals) <= MAXIMUM_CALLS);
    t.true(getLowestRate(arrivals) >= CALLS_PER_SECOND * 0.4);
  });

  test(`${instances} instances keep the bound as endpoints turn cold again`, (t) => {
    const arrivals = play({...plan, coldTimes: [0, 1200, 2900]});
    t.log(getWorst(arrivals));
    t.true(getWorst(arrivals) <= MAXIMUM_CALLS / 2);
  });
}

/** An instance that has known itself for long, and an endpoint that is warm. */
function createAlone() {
  const core = createColdEndpoints('a', () => BOUND);
  core.setServices([ENGINES]);
  core.recordInstances([{name: 'a', capacity: 1}], 0);
  core.recordInstances([{name: 'a', capacity: 1}], 5000);
  const list = (now: number, changes: object = {}) =>
    core
      .recordEndpoints([{...ENDPOINT, ...changes}], {monotonic: now, wall: now})
      .map(({tag}) => tag);
  list(5000);
  return {core, list};
}

test('an endpoint is cold from the statement until its end, its withdrawal or a warm restart', (t) => {
  const {core, list} = createAlone();
  t.is(core.getRate(ENDPOINT, 6000), Infinity);
  t.deepEqual(list(6000, {coldMilliseconds: 3000}), ['listed']);
  t.deepEqual(list(7000, {coldMilliseconds: 3000}), []);
  t.is(core.getRemaining(ENDPOINT, 7000), 2000);
  t.deepEqual(list(9000, {coldMilliseconds: 3000}), ['warm']);
  t.deepEqual(list(9500, {coldMilliseconds: 2500}), ['listed']);
  t.deepEqual(list(9600), ['warm']);
  const restarted = {...ENDPOINT, startedAt: 9000};
  t.deepEqual(list(10_000, restarted), ['started']);
  t.is(core.getRemaining(ENDPOINT, 10_000), 0);
  t.is(core.getRemaining(restarted, 10_000), COLD_MILLISECONDS);
});

test('calls before an endpoint turned cold count, and so do those that wait', (t) => {
  const {core, list} = createAlone();
  const record = (sentAt: number, now: number) =>
    Array.from({length: 14}, () => core.recordCall(ENDPOINT, sentAt, now));
  record(6000, 6000);
  list(6100, {coldMilliseconds: 3000});
  t.is(core.getWait(ENDPOINT, 6100), 950);
  record(7050, 6100);
  t.is(core.getWait(ENDPOINT, 7050), 1050);
  t.is(core.getWait(ENDPOINT, 9000), 0);
  t.is(core.getWait(ENDPOINT, 9100), 0);
});

test('an instance without a list of the others, or with an old one, waits', (t) => {
  const {core, list} = createAlone();
  list(13_100, {coldMilliseconds: 3000});
  t.is(core.getWait(ENDPOINT, 13_100), 3000);
  const fresh = createColdEndpoints('a', () => BOUND);
  fresh.setServices([ENGINES]);
  fresh.recordEndpoints([{...ENDPOINT, coldMilliseconds: 3000}], {
    monotonic: 0,
    wall: 0,
  });
  fresh.recordInstances([{name: 'a', capacity: 1}], 0);
  t.is(fresh.getWait(ENDPOINT, 1000), 2000);
});

test('nothing is bounded without a margin, a rate, or cold endpoints', (t) => {
  const core = createColdEndpoints('a', () => null);
  core.setServices([ENGINES]);
  const cold = {...ENDPOINT, coldMilliseconds: 3000};
  t.deepEqual(core.recordEndpoints([cold], {monotonic: 0, wall: 0}), []);
  t.is(core.getWait(ENDPOINT, 0), 0);
});

test('no figure leaves an endpoint cold for ever, or lets shares exceed the bound', (t) => {
  const figure = fc.oneof(
    fc.double(),
    fc.constantFrom(-1, 0, 1e300, Infinity, NaN, 'x', null, undefined),
  );
  fc.assert(
    fc.property(fc.array(figure, {maxLength: 9}), (figures) => {
      const {core, list} = createAlone();
      figures.forEach((coldMilliseconds, index) => {
        list(6000 + index, {coldMilliseconds});
        const wait = core.getWait(ENDPOINT, 6000 + index);
        t.true(wait >= 0 && wait <= 60_000);
      });
      t.is(core.getWait(ENDPOINT, 70_000), 0);
    }),
  );
  fc.assert(
    fc.property(
      fc.double({min: 0.01, max: 1000, noNaN: true}),
      fc.double({min: 0, max: 2000, noNaN: true}),
      fc.integer({min: 1, max: 400}),
      fc.boolean(),
      (callsPerSecond, maximumCalls, instances, isDispatched) => {
        const shares = Array.from({length: instances}, (_value, rank) =>
          getColdShare({
            callsPerSecond,
            maximumCalls,
            rank,
            instances,
            isDispatched,
          }),
        );
        const sum = shares.reduce((total, share) => total + share, 0);
        t.true(sum <= maximumCalls);
        t.true(sum <= Math.max(1, callsPerSecond, maximumCalls / 2));
        t.true(sum >= Math.min(1, Math.floor(maximumCalls)));
      },
    ),
  );
});
