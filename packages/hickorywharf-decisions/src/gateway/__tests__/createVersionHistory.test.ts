import test from 'ava';
import fc from 'fast-check';
import {createVersionHistory} from '../createVersionHistory.ts';

const LIFETIME = 20_000;
const at = (milliseconds: number) => ({
  monotonic: milliseconds,
  wall: milliseconds,
});
const list = (...versions: readonly string[]) =>
  versions.map((version) => ({service: 'engines', version, startedAt: -1e6}));

/** Records the same list once a second from one time to another. */
function recordEach(
  history: ReturnType<typeof createVersionHistory>,
  [from, until]: readonly [number, number],
  ...versions: readonly string[]
): void {
  for (let now = from; now <= until; now += 1000) {
    history.recordList(list(...versions), at(now), at(now));
  }
}

test('the only version is known once it has served for the lifetime of a stream', (t) => {
  const history = createVersionHistory();
  const find = (now: number) =>
    history.findOnlyVersion('engines', at(now), LIFETIME);
  t.is(find(0), null);
  recordEach(history, [0, 19_000], 'v1');
  t.is(find(19_500), null);
  recordEach(history, [20_000, 21_000], 'v1');
  t.is(find(21_500), 'v1');
  t.is(find(23_500), null, 'the list is too old');
  recordEach(history, [22_000, 23_000], 'v1', 'v2');
  t.is(find(23_500), null, 'two versions serve');
  recordEach(history, [24_000, 42_000], 'v2');
  t.is(find(42_500), null, 'streams of v1 may still be resumed');
  recordEach(history, [43_000, 45_000], 'v2');
  t.is(find(45_500), 'v2');
});

test('the only version is not known after a time without lists', (t) => {
  const history = createVersionHistory();
  recordEach(history, [0, 30_000], 'v1');
  // Another version may have come and gone meanwhile.
  recordEach(history, [36_000, 50_000], 'v1');
  t.is(history.findOnlyVersion('engines', at(50_500), LIFETIME), null);
  recordEach(history, [51_000, 57_000], 'v1');
  t.is(history.findOnlyVersion('engines', at(57_500), LIFETIME), 'v1');
});

test('endpoints without a version have no only version', (t) => {
  const history = createVersionHistory();
  recordEach(history, [0, 30_000], '');
  t.is(history.findOnlyVersion('engines', at(30_500), LIFETIME), null);
});

test('streams begin at a new version only after a while', (t) => {
  const history = createVersionHistory();
  recordEach(history, [0, 5000], 'v1');
  t.true(history.isEstablished('engines', 'v1', at(5100)));
  recordEach(history, [6000, 9000], 'v1', 'v2');
  t.false(history.isEstablished('engines', 'v2', at(8400)));
  t.true(history.isEstablished('engines', 'v2', at(8600)));
});

test('no instance takes a stream of a new version for one of the old', (t) => {
  const lags = fc.array(fc.integer({min: 0, max: 1900}), {
    minLength: 2,
    maxLength: 6,
  });
  const plan = fc.record({lags, releasedAt: fc.integer({min: 0, max: 40_000})});
  fc.assert(
    fc.property(plan, (input) => {
      const instances = input.lags.map((lag) => ({
        lag,
        history: createVersionHistory(),
      }));
      for (let now = 0; now < 60_000; now += 100) {
        instances.forEach(({lag, history}, index) => {
          // Lists arrive late, each instance's by another time.
          if ((now + index * 300) % 1000 !== 0) return;
          const readAt = Math.max(0, now - lag);
          const versions = readAt >= input.releasedAt ? ['v1', 'v2'] : ['v1'];
          history.recordList(list(...versions), at(readAt), at(now));
        });
        const hasBegun = instances.some(({history}) =>
          history.isEstablished('engines', 'v2', at(now)),
        );
        const isMistaken = instances.some(
          ({history}) =>
            history.findOnlyVersion('engines', at(now), LIFETIME) === 'v1',
        );
        if (hasBegun && isMistaken) return false;
      }
      return true;
    }),
    {numRuns: 100, seed: 22},
  );
  t.pass();
});

test('a wall clock that jumps ahead makes no new version established', (t) => {
  const history = createVersionHistory();
  recordEach(history, [0, 5000], 'v1');
  recordEach(history, [6000, 6000], 'v1', 'v2');
  const jumped = {monotonic: 6100, wall: 9100};
  t.false(history.isEstablished('engines', 'v2', jumped));
});

// Guards against a version that is forgotten while its streams can be resumed:
// the one that came after it was then taken for the only one.
test('a version is remembered for as long as its streams can be resumed', (t) => {
  const history = createVersionHistory();
  const find = (now: number) =>
    history.findOnlyVersion('engines', at(now), 605_000);
  recordEach(history, [0, 100_000], 'v1');
  t.is(find(100_500), null);
  recordEach(history, [101_000, 650_000], 'v2');
  t.is(find(650_500), null, 'streams of v1 may still be resumed');
  recordEach(history, [651_000, 710_000], 'v2');
  t.is(find(710_500), 'v2');
});

test('published versions take the place of the lists from before the start', (t) => {
  const published = (...versions: readonly string[]) =>
    versions.map((version) => ({service: 'engines', version}));
  const find = (history: ReturnType<typeof createVersionHistory>) =>
    history.findOnlyVersion('engines', at(3500), LIFETIME);
  const cases = [
    {name: 'one', versions: published('v1'), readAt: 500, only: 'v1'},
    {name: 'two', versions: published('v1', 'v2'), readAt: 500, only: null},
    {name: 'another', versions: published('v2'), readAt: 500, only: null},
    {name: 'none', versions: [], readAt: 500, only: null},
    {
      name: 'of another service',
      versions: [{service: 'others', version: 'v1'}],
      readAt: 500,
      only: null,
    },
    {
      name: 'long before the first list',
      versions: published('v1'),
      readAt: -1500,
      only: null,
    },
  ];
  for (const {name, versions, readAt, only} of cases) {
    const history = createVersionHistory();
    history.recordPublished(versions, at(readAt));
    recordEach(history, [1000, 3000], 'v1');
    t.is(find(history), only, name);
  }
});

test('after a time without lists, published versions from before it count no more', (t) => {
  const history = createVersionHistory();
  history.recordPublished([{service: 'engines', version: 'v1'}], at(0));
  recordEach(history, [0, 5000], 'v1');
  recordEach(history, [9000, 12_000], 'v1');
  t.is(history.findOnlyVersion('engines', at(12_500), LIFETIME), null);
});

test('a version that an ended instance may still publish is one of several', (t) => {
  const history = createVersionHistory();
  history.recordPublished([{service: 'engines', version: 'v1'}], at(0));
  recordEach(history, [0, 45_000], 'v2');
  const hasSeveral = (now: number) =>
    history.hasSeveralVersions('engines', at(now), LIFETIME);
  t.true(hasSeveral(2 * LIFETIME));
  t.false(hasSeveral(2 * LIFETIME + 1));
  t.deepEqual(history.listListed(at(45_500), LIFETIME), [
    {service: 'engines', version: 'v2'},
  ]);
});

// Guards against a version that is no longer published while its streams, begun
// by an old list, can be resumed.
test('a version counts as listed until the next list', (t) => {
  const history = createVersionHistory();
  recordEach(history, [0, 5000], 'v1');
  const nextAt = 5000 + LIFETIME + 1;
  recordEach(history, [nextAt, nextAt], 'v2');
  const getListed = (now: number) =>
    history.listListed(at(now), LIFETIME).map(({version}) => version);
  t.deepEqual(getListed(nextAt), ['v1', 'v2']);
  t.true(history.hasSeveralVersions('engines', at(nextAt), LIFETIME));
  recordEach(history, [nextAt + 1000, nextAt + 1000], 'v2');
  t.deepEqual(getListed(nextAt + LIFETIME), ['v1', 'v2']);
  t.deepEqual(getListed(nextAt + LIFETIME + 1), ['v2']);
});
