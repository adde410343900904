import test from 'ava';
import {createHedgeShare} from '../createHedgeShare.ts';
import {createHedgeTimes} from '../createHedgeTimes.ts';
import {decideHedge} from '../decideHedge.ts';
import {simulateHedges} from './simulateHedges.ts';

type Load = Parameters<typeof simulateHedges>[0];

const LOAD: Load = {
  seed: 1,
  endpoints: 6,
  slots: 6,
  callsPerSecond: 60,
  callShare: 0.1,
  getMilliseconds: (_endpoint, _at, random) => 40 + 60 * random(),
};

/** The same load without and with hedges. */
function compare(load: Partial<Load>) {
  const played = {...LOAD, ...load};
  return {
    off: simulateHedges({...played, callShare: 0}),
    on: simulateHedges(played),
  };
}

for (const seed of [1, 2, 3]) {
  test(`one slow endpoint of several: the slowest calls get faster, seed ${seed}`, (t) => {
    const {off, on} = compare({
      seed,
      callShare: 0.2,
      getMilliseconds: (endpoint, _at, random) =>
        (40 + 60 * random()) * (endpoint === 0 ? 8 : 1),
    });
    t.is(off.hedges, 0);
    t.true(off.getQuantile(0.99) > 600, `${off.getQuantile(0.99)}`);
    t.true(on.getQuantile(0.99) < off.getQuantile(0.99) / 2);
    t.true(on.hedges <= on.calls * 0.2);
  });

  test(`rare slow calls: the slowest of all get faster, seed ${seed}`, (t) => {
    const {off, on} = compare({
      seed,
      getMilliseconds: (_endpoint, _at, random) =>
        (40 + 60 * random()) * (random() < 0.02 ? 10 : 1),
    });
    t.true(on.getQuantile(0.99) < off.getQuantile(0.99) * 0.6);
    t.true(on.hedges <= on.calls * 0.1);
  });

  test(`two kinds of work: the longer kind is not hedged, seed ${seed}`, (t) => {
    const {on} = compare({
      seed,
      getMilliseconds: (_endpoint, _at, random) =>
        random() < 0.3 ? 300 + 10 * random() : 40,
    });
    t.true(on.hedges < on.calls * 0.08, `${on.hedges}`);
  });

  test(`stalls of 100 ms each 600 ms: no more than the share, seed ${seed}`, (t) => {
    const {off, on} = compare({
      seed,
      callShare: 0.05,
      getMilliseconds: (endpoint, at, random) => {
        const phase = (at + endpoint * 100) % 600;
        return 40 + 20 * random() + (phase < 100 ? 100 - phase : 0);
      },
    });
    t.true(on.hedges <= on.calls * 0.05);
    t.true(on.getQuantile(0.99) < off.getQuantile(0.99) * 1.05);
  });
}

// One play differs by up to 13 in 100 either way, as each call that ends sooner
// or later moves all that queue behind it.
test('all endpoints slow and nearly full: no storm, and in the mean none pays for it', (t) => {
  const SEEDS = 12;
  let ratios = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const {off, on} = compare({
      seed,
      getMilliseconds: (_endpoint, at, random) =>
        (40 + 60 * random()) * (at > 20_000 ? 7 : 1),
    });
    t.true(on.getHedgedShare(22_000) < 0.01, `${on.getHedgedShare(22_000)}`);
    ratios += on.getQuantile(0.99) / off.getQuantile(0.99);
  }
  t.true(ratios / SEEDS < 1.05, `${ratios / SEEDS}`);
});

test('nothing is known of the slowest calls after a few', (t) => {
  const times = createHedgeTimes();
  for (let count = 0; count < 19; count += 1) times.record('desk', 'a', 50);
  t.is(times.getDelay('desk'), undefined);
  times.record('desk', 'a', 50);
  t.is(times.getDelay('desk'), 50);
  t.is(times.getDelay('other'), undefined);
  times.remove('a');
  t.is(times.getDelay('desk'), undefined);
});

test('hedges keep to the share of calls and of slots', (t) => {
  const share = createHedgeShare({
    callShare: 0.1,
    roomShare: 0.1,
    windowMilliseconds: 1000,
  });
  const room = {slots: 18, instances: 20};
  for (let call = 0; call < 25; call += 1) share.recordCall('desk', call);
  t.true(share.mayStart('desk', room, 30));
  const end = share.start('desk', 30);
  t.false(share.mayStart('desk', room, 30), 'a second one at the same time');
  t.true(share.mayStart('desk', {slots: 400, instances: 20}, 30));
  end();
  end();
  t.true(share.mayStart('desk', room, 40));
  share.start('desk', 40)();
  t.false(share.mayStart('desk', room, 50), 'a third one of 25 calls');
  t.false(share.mayStart('desk', room, 2000), 'without calls');
});

test('each fact forbids a hedge by itself', (t) => {
  const facts = {
    mayRunAgain: true,
    isSilent: false,
    hasEndpoint: true,
    running: 1,
    callsPerMillisecond: 0.01,
    instances: 2,
    slots: 18,
    hasFreshKey: true,
    isQuarantined: false,
    timeLeftMilliseconds: 1000,
    usualMilliseconds: 80,
    isWithinShare: true,
    retries: {used: 1, limit: 4},
  };
  t.deepEqual(decideHedge(facts), {tag: 'hedge'});
  const missing = {
    noRun: {mayRunAgain: false},
    silence: {isSilent: true},
    noEndpoint: {hasEndpoint: false},
    load: {running: 6},
    keys: {hasFreshKey: false},
    quarantine: {isQuarantined: true},
    time: {timeLeftMilliseconds: 80},
    share: {isWithinShare: false},
    budget: {retries: {used: 2, limit: 4}},
  };
  const busy = {...facts, callsPerMillisecond: 0.1};
  t.deepEqual(decideHedge(busy), {tag: 'wait', missing: 'load'});
  for (const [name, change] of Object.entries(missing)) {
    const decision = decideHedge({...facts, ...change});
    t.deepEqual(decision as unknown, {tag: 'wait', missing: name});
  }
});
