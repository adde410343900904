import test from 'ava';
import fc from 'fast-check';
import {createEndpointLimits} from '../createEndpointLimits.ts';

const ENDPOINT = {id: 'engine-1', service: 'engines', startedAt: 1};
const WINDOW_MILLISECONDS = 4000;
/** An instance is bound so long after a response that states the limit. */
const NOTICE_MILLISECONDS = 500;
const REPORT_MILLISECONDS = 150;
const LIST_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 50;

interface Plan {
  readonly callsPerSecond: number;
  readonly instances: number;
  /** Instances that are stopped for a while one after the other. */
  readonly rolls: number;
  /** Calls that each instance wants to send in each step. */
  readonly demand: number;
  readonly isStage?: boolean;
  /** Whether announcements expire for a while, so that all see only themselves. */
  readonly isLapsing?: boolean;
  readonly seconds: number;
}

/** The most calls in one window, of those that instances sent once told. */
function countInWorstWindow(times: readonly number[]): number {
  let worst = 0;
  let first = 0;
  times.forEach((at, last) => {
    while (times[first]! <= at - WINDOW_MILLISECONDS) first += 1;
    worst = Math.max(worst, last - first + 1);
  });
  return worst;
}

/**
 * Runs instances that send as many calls as they may to an endpoint with a
 * limit. They read the instance list at different times, and report to each
 * other. Returns the times of the calls for which the limit binds.
 */
function simulate(plan: Plan): number[] {
  const {callsPerSecond, instances, seconds} = plan;
  const names = Array.from({length: instances}, (_value, index) => `i${index}`);
  const capacity = 1;
  const start = (name: string, at: number) => {
    const limits = createEndpointLimits(name, `${name}-${at}`);
    if (plan.isStage === true) limits.setStageServices(['engines']);
    return {name, limits, toldAt: Infinity};
  };
  let running = names.map((name) => start(name, 0));
  const counted: number[] = [];
  const warmUp = 10_000;
  for (let now = 0; now < warmUp + seconds * 1000; now += STEP_MILLISECONDS) {
    // Each is down for three seconds, and the next one follows at once.
    const rolling = Math.floor((now - warmUp) / 3000);
    const down =
      now >= warmUp && rolling < plan.rolls ? names[rolling % instances] : null;
    const isUp = new Set(running.map(({name}) => name));
    running = running.filter(({name}) => name !== down);
    for (const name of names) {
      if (name !== down && !isUp.has(name)) running.push(start(name, now));
    }
    running.forEach((instance, index) => {
      const {name, limits} = instance;
      // The list of an instance is older than the present by up to its period.
      if ((now + index * 250) % LIST_MILLISECONDS === 0) {
        const hasLapsed =
          plan.isLapsing === true && now > 20_000 && now <= 22_000;
        const listed = (hasLapsed ? [instance] : running).map((other) => ({
          name: other.name,
          capacity,
        }));
        limits.recordInstances(listed, now);
      }
      if ((now + index * 50) % REPORT_MILLISECONDS === 0) {
        const reports = limits.listReports(now);
        for (const other of running) {
          if (other.name !== name) other.limits.recordReports(reports, now);
        }
      }
    });
    for (const instance of running) {
      const {limits} = instance;
      for (let call = 0; call < plan.demand; call += 1) {
        if (limits.getWait(ENDPOINT, now) > 0) break;
        limits.reserve(ENDPOINT, now);
        if (now > instance.toldAt + NOTICE_MILLISECONDS) counted.push(now);
        if (now < warmUp) continue;
        limits.recordResponse(ENDPOINT, callsPerSecond, now);
        instance.toldAt = Math.min(instance.toldAt, now);
      }
    }
  }
  return counted;
}

const getAllowed = (callsPerSecond: number): number =>
  1.5 * callsPerSecond * (WINDOW_MILLISECONDS / 1000) + 5;

for (const instances of [1, 3, 10, 30]) {
  test(`${instances} instances together keep a limit, whatever the rate`, (t) => {
    for (const callsPerSecond of [0, 0.3, 1.4, 5, 50]) {
      const plan = {
        callsPerSecond,
        instances,
        rolls: 0,
        demand: 3,
        seconds: 40,
      };
      const counted = simulate(plan);
      const worst = countInWorstWindow(counted);
      const allowed = getAllowed(callsPerSecond);
      const text = `${worst} of ${allowed} at ${callsPerSecond}/s`;
      t.true(worst <= allowed, text);
      // The limit is there to be used: well over half of it is.
      const used = counted.length / 40;
      t.true(used >= 0.6 * callsPerSecond, `${used} at ${callsPerSecond}/s`);
    }
  });
}

test('instances that restart one after the other keep a limit together', (t) => {
  const seed = 22;
  const plans = fc.record({
    callsPerSecond: fc.double({min: 0.3, max: 50, noNaN: true}),
    instances: fc.integer({min: 2, max: 12}),
    rolls: fc.integer({min: 1, max: 8}),
    demand: fc.integer({min: 1, max: 5}),
  });
  for (const plan of fc.sample(plans, {numRuns: 60, seed})) {
    const counted = simulate({...plan, seconds: 30});
    const worst = countInWorstWindow(counted);
    const allowed = getAllowed(plan.callsPerSecond);
    t.true(worst <= allowed, `${worst} of ${allowed}: ${JSON.stringify(plan)}`);
  }
});

test('instances that see only themselves for a moment keep a limit together', (t) => {
  for (const callsPerSecond of [0.3, 5, 50]) {
    const plan = {callsPerSecond, instances: 10, rolls: 0, demand: 3};
    const counted = simulate({...plan, isLapsing: true, seconds: 20});
    const worst = countInWorstWindow(counted);
    const allowed = getAllowed(callsPerSecond);
    t.true(worst <= allowed, `${worst} of ${allowed} at ${callsPerSecond}/s`);
  }
});

test('two dispatchers of a stage at a time keep a limit together', (t) => {
  for (const callsPerSecond of [0.3, 1, 5, 50]) {
    const plan = {callsPerSecond, instances: 5, rolls: 4, demand: 3};
    const counted = simulate({...plan, isStage: true, seconds: 30});
    const worst = countInWorstWindow(counted);
    const allowed = getAllowed(callsPerSecond);
    t.true(worst <= allowed, `${worst} of ${allowed} at ${callsPerSecond}/s`);
    t.true(counted.length > 0);
  }
});

/** Two instances that have known of each other for long. */
function createPair() {
  const instances = ['a', 'b'].map((name) => ({name, capacity: 1}));
  const [first, second] = instances.map(({name}) => {
    const limits = createEndpointLimits(name, `${name}-1`);
    limits.recordInstances(instances, 0);
    return limits;
  });
  return {first: first!, second: second!};
}

test('a limit that ended no longer holds calls back, also at a peer', (t) => {
  const {first, second} = createPair();
  first.recordResponse(ENDPOINT, 0.3, 5000);
  second.recordReports(first.listReports(5100), 5100);
  t.true(first.getWait(ENDPOINT, 5200) > 0);
  t.true(second.getWait(ENDPOINT, 5200) > 0);
  const older = first.listReports(5300);
  first.recordResponse(ENDPOINT, null, 6000);
  second.recordReports(first.listReports(6100), 6100);
  t.is(first.getWait(ENDPOINT, 6200), 0);
  t.is(second.getWait(ENDPOINT, 6200), 0);
  // What a slower peer says of the time before changes nothing.
  second.recordReports(older, 6300);
  t.is(second.getWait(ENDPOINT, 6300), 0);
});

test('peers are told for a while only that a limit ended', (t) => {
  const {first} = createPair();
  first.recordResponse(ENDPOINT, 0.3, 5000);
  for (let now = 6000; now < 40_000; now += 100) {
    first.recordResponse(ENDPOINT, null, now);
  }
  t.is(first.listReports(20_000).length, 1);
  t.deepEqual(first.listReports(40_000), []);
});

test('a restarted endpoint has no limit until it states one', (t) => {
  const {first} = createPair();
  first.recordResponse(ENDPOINT, 0.3, 5000);
  const restarted = {...ENDPOINT, startedAt: 2};
  t.is(first.getWait(restarted, 5100), 0);
  first.recordResponse(restarted, 1, 5200);
  t.true(first.getWait(restarted, 5300) > 0);
});

test('an endpoint that takes no calls is asked again after a while, by one instance at a time', (t) => {
  const {first, second} = createPair();
  first.recordResponse(ENDPOINT, 0, 5000);
  second.recordReports(first.listReports(5000), 5000);
  let asked = 0;
  for (let now = 5000; now < 37_000; now += 100) {
    for (const limits of [first, second]) {
      if (limits.getWait(ENDPOINT, now) > 0) continue;
      limits.reserve(ENDPOINT, now);
      t.true(now >= 15_000, 'not before the limit is old');
      asked += 1;
    }
  }
  t.true(asked > 0 && asked <= 6, `${asked} calls in 22 s`);
});

test('reserved calls are spaced by the share of the instance', (t) => {
  const {first, second} = createPair();
  for (const limits of [first, second]) {
    limits.recordResponse(ENDPOINT, 2, 5000);
    t.true(limits.getWait(ENDPOINT, 5000) > 0);
  }
  const waits = [1, 2, 3, 4].map(() => first.reserve(ENDPOINT, 8000));
  t.is(waits[0], 0);
  t.is(Math.round(waits[3]! - waits[2]!), 1000);
});
