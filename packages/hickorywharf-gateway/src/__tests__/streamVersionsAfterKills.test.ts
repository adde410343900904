import test from 'ava';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {createStreamSimulation} from './createStreamSimulation.ts';

const INDEXES = [0, 1, 2];
/** Longer than a stream can last. */
const CALM_MILLISECONDS = 80_000;
/** Less than a stream can last, so that no instance knows the time before. */
const SHORT_MILLISECONDS = 20_000;
const SEEDS = 200;
const DAY_MILLISECONDS = 150_000;
const STEP_MILLISECONDS = 500;
/** Callers resume streams within this time of their begin. */
const RESUME_MILLISECONDS = 30_000;

const listServers = (version: string) =>
  [0, 1].map((index) => ({
    id: `${version}-${index}`,
    version,
    isDraining: false,
  }));

function start(milliseconds: number) {
  const simulation = createStreamSimulation(INDEXES.length);
  simulation.setServers(listServers('v1'));
  simulation.pass(milliseconds);
  return simulation;
}

// Guards against the refusal of all streams after a kill of all instances while
// servers of one version alone have served.
for (const milliseconds of [SHORT_MILLISECONDS, CALM_MILLISECONDS]) {
  test(`after a kill of all instances beside one version, ${milliseconds} ms after their start, streams go on`, async (t) => {
    const simulation = start(milliseconds);
    simulation.beginStream(0, 'stream');
    for (const index of INDEXES) simulation.restart(index);
    simulation.pass(1500);
    for (const index of INDEXES) {
      t.is(await simulation.findServedVersion(index, 'stream'), 'v1');
    }
  });
}

test('after a kill of all instances no stream goes on by the one version that is left', async (t) => {
  const simulation = start(CALM_MILLISECONDS);
  simulation.setServers([...listServers('v1'), ...listServers('v2')]);
  simulation.pass(5000);
  simulation.setServers(listServers('v1'));
  simulation.pass(1000);
  for (const index of INDEXES) simulation.restart(index);
  simulation.pass(1500);
  for (const index of INDEXES) {
    t.is(await simulation.findServedVersion(index, 'not kept'), null);
  }
});

test('a version that came before an instance could read what was published is not taken for the only one', async (t) => {
  const simulation = start(CALM_MILLISECONDS);
  simulation.beginStream(0, 'stream');
  simulation.setServers(listServers('v2'));
  for (const index of INDEXES) simulation.restart(index);
  simulation.pass(1500);
  for (const index of INDEXES) {
    t.is(await simulation.findServedVersion(index, 'stream'), null);
  }
});

/** Releases and returns to the version before, beside kills of all instances. */
async function playDay(seed: number) {
  const random = createRandom(seed);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(random() * values.length)]!;
  const simulation = start(pick([SHORT_MILLISECONDS, CALM_MILLISECONDS]));
  const versions = ['v1', 'v2', 'v3'] as const;
  let served: readonly string[] = ['v1'];
  const begun: Array<{streamId: string; version: string; at: number}> = [];
  const wrong: string[] = [];
  let resumed = 0;
  const startedAt = simulation.getTime();
  const getElapsed = (): number => simulation.getTime() - startedAt;
  while (getElapsed() < DAY_MILLISECONDS) {
    if (random() < 0.02) {
      served = pick([[pick(versions)], [pick(versions), pick(versions)]]);
      simulation.setServers([...new Set(served)].flatMap(listServers));
    }
    const cut = pick(INDEXES);
    if (random() < 0.02) simulation.cutOff.add(cut);
    else if (random() < 0.2) simulation.cutOff.clear();
    if (random() < 0.015) {
      for (const index of INDEXES) simulation.restart(index);
    }
    simulation.pass(STEP_MILLISECONDS);
    for (const index of INDEXES) {
      const streamId = `${index}-${getElapsed()}`;
      const version = simulation.beginStream(index, streamId);
      if (version === null) continue;
      begun.push({streamId, version, at: getElapsed()});
    }
    const recent = begun.filter(
      ({at}) => getElapsed() - at < RESUME_MILLISECONDS,
    );
    for (const stream of recent.length > 0
      ? [pick(recent), pick(recent)]
      : []) {
      const index = pick(INDEXES);
      const found = await simulation.findServedVersion(index, stream.streamId);
      if (found === null) continue;
      resumed += 1;
      if (found === stream.version) continue;
      wrong.push(
        `seed ${seed}, ${getElapsed()} ms: ${stream.streamId} of ${stream.version} at ${found}, instance ${index}`,
      );
    }
  }
  return {wrong, resumed};
}

test('in drawn releases beside kills of all instances no stream goes on at another version', async (t) => {
  const wrong: string[] = [];
  let resumed = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const played = await playDay(seed);
    wrong.push(...played.wrong);
    resumed += played.resumed;
  }
  t.deepEqual(wrong, []);
  t.log(`${resumed} streams went on in ${SEEDS} days`);
  t.true(resumed > SEEDS);
});
