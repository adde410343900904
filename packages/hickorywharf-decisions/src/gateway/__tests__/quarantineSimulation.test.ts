import test, {type ExecutionContext} from 'ava';
import {REQUEST_PREFIX} from '../requestPrefix.ts';
import {simulateQuarantine} from './simulateQuarantine.ts';

type Options = Parameters<typeof simulateQuarantine>[0];
interface Prompts extends Pick<
  Options,
  'badParts' | 'badFrom' | 'getMarkedParts' | 'getSoundParts'
> {
  /** Limits the sound requests that are counted to those with this part. */
  readonly countedPart?: string;
}

const CONTACT_MILLISECONDS = 3000;
const COUNTED_CRASHES = 5;
const COUNTED_REQUEST_CRASHES = 3;
const ALLOWED_ARRIVALS = 3;
const LEAST_SOUND_SHARE = 0.5;
const LEAST_COUNTED = 20;

const BAD_REQUEST = `${REQUEST_PREFIX}bad`;
const SESSIONS = 40;
const SEEDS = [1, 2];

const getSession = (random: () => number): string =>
  `session-${Math.floor(random() * SESSIONS)}`;

/** Crashes of other causes, several at a time, and instances that restart. */
const DISRUPTIONS: Pick<Options, 'otherCrashes' | 'restarts'> = {
  otherCrashes: [
    [3000, 3],
    [5000, 2],
    [5500, 2],
    [20_000, 6],
    [30_000, 3],
    [30_400, 3],
  ],
  restarts: [6000, 15_000, 30_000],
};

function check(t: ExecutionContext, prompts: Prompts): void {
  const {countedPart} = prompts;
  for (const instances of [3, 10]) {
    for (const markedPerSecond of [1, 20]) {
      for (const seed of SEEDS) {
        const name = `${instances} instances, ${markedPerSecond} a second, seed ${seed}`;
        const {bad, sound} = simulateQuarantine({
          seed,
          instances,
          servers: 3 * instances,
          markedPerSecond,
          soundPerSecond: 30,
          milliseconds: 40_000,
          ...(seed % 2 === 0 && DISRUPTIONS),
          ...prompts,
        });
        let lastAt = 0;
        for (const {part, arrivals, crashes} of bad) {
          const at = crashes[COUNTED_CRASHES - 1] ?? crashes.at(-1) ?? 0;
          lastAt = Math.max(lastAt, at);
          const late = arrivals.filter(
            (arrivedAt) => arrivedAt > at + CONTACT_MILLISECONDS,
          );
          t.true(crashes.length > 0, name);
          t.true(
            late.length <= ALLOWED_ARRIVALS,
            `${late.length} requests with ${part}: ${name}`,
          );
        }
        const after = sound.filter(
          ({parts, sentAt}) =>
            sentAt > lastAt + 2 * CONTACT_MILLISECONDS &&
            (countedPart === undefined || parts.includes(countedPart)),
        );
        const answered = after.filter(({isAnswered}) => isAnswered).length;
        if (after.length < LEAST_COUNTED) continue;
        t.true(
          answered >= after.length * LEAST_SOUND_SHARE,
          `${answered} of ${after.length} sound requests: ${name}`,
        );
      }
    }
  }
}

test('a middle part does not go on ending servers of many instances', check, {
  badParts: ['bad'],
  getMarkedParts: () => ['shared', 'bad'],
  getSoundParts: (random) => ['shared', getSession(random)],
});

test('a first part does not go on ending servers of many instances', check, {
  badParts: ['bad'],
  getMarkedParts: (random) => ['bad', getSession(random)],
  getSoundParts: (random) => ['shared', getSession(random)],
});

test('two parts do not go on ending servers of many instances', check, {
  badParts: ['bad', 'other-bad'],
  getMarkedParts: (random) => ['shared', random() < 0.5 ? 'bad' : 'other-bad'],
  getSoundParts: (random) => ['shared', getSession(random)],
});

test('a part that was sound at first does not go on ending servers', check, {
  badParts: ['bad'],
  badFrom: 8000,
  getMarkedParts: () => ['shared', 'bad'],
  getSoundParts: (random) => ['shared', getSession(random)],
});

test('a sound part that always comes with the bad one is sent again', check, {
  badParts: ['bad'],
  getMarkedParts: () => ['shared', 'bad', 'beside'],
  countedPart: 'beside',
  getSoundParts: (random) =>
    random() < 0.1 ? ['shared', 'beside'] : ['other', getSession(random)],
});

test('a request does not go on ending servers of many instances', (t) => {
  for (const instances of [3, 10, 30]) {
    for (const markedPerSecond of [0.3, 1, 20]) {
      for (const seed of SEEDS) {
        const {bad, sound} = simulateQuarantine({
          seed,
          instances,
          servers: 9,
          badParts: [BAD_REQUEST],
          markedPerSecond,
          soundPerSecond: 15,
          getMarkedParts: () => [BAD_REQUEST],
          getSoundParts: (random) => [REQUEST_PREFIX + random()],
          milliseconds: 100_000,
          ...(seed % 2 === 0 && DISRUPTIONS),
        });
        const [{arrivals, crashes}] = bad as [(typeof bad)[number]];
        const boundedAt =
          crashes[COUNTED_REQUEST_CRASHES - 1]! + CONTACT_MILLISECONDS;
        const late = arrivals.filter((at) => at > boundedAt).length;
        const name = `${instances} instances, ${markedPerSecond} a second, seed ${seed}`;
        t.true(late <= ALLOWED_ARRIVALS, `${late} requests: ${name}`);
        const after = sound.filter(({sentAt}) => sentAt > boundedAt);
        const answered = after.filter(({isAnswered}) => isAnswered).length;
        t.true(
          answered >= after.length * LEAST_SOUND_SHARE,
          `${answered} of ${after.length} sound requests: ${name}`,
        );
      }
    }
  }
});

test('servers that crash one after the other for another reason leave no part quarantined', (t) => {
  const lastCrash = 20_000;
  const times = Array.from({length: 40}, (_value, index) => 8000 + index * 300);
  for (const seed of [1, 2, 3]) {
    const {sound} = simulateQuarantine({
      seed,
      instances: 3,
      servers: 9,
      badParts: [],
      markedPerSecond: 1,
      soundPerSecond: 30,
      getMarkedParts: () => ['shared', 'rare'],
      getSoundParts: (random) => ['shared', getSession(random)],
      otherCrashes: times.map((at) => [at, 1 + (seed % 3)] as const),
      milliseconds: 30_000,
    });
    // All servers are up again after 5 s.
    const after = sound.filter(({sentAt}) => sentAt > lastCrash + 5000);
    const answered = after.filter(({isAnswered}) => isAnswered).length;
    t.true(after.length > 0);
    t.is(answered, after.length, `seed ${seed}`);
  }
});

for (const seed of [4, 18, 24, 186]) {
  test(`a part that turns bad while answers with it go on does not go on ending servers, seed ${seed}`, (t) => {
    const {bad} = simulateQuarantine({
      seed,
      instances: 3,
      servers: 9,
      badParts: ['bad'],
      badFrom: 10_000,
      markedPerSecond: 40,
      soundPerSecond: 40,
      getMarkedParts: () => ['shared', 'bad'],
      getSoundParts: (random) => ['shared', getSession(random)],
      otherCrashes: [
        [5000, 3],
        [7000, 2],
        [7500, 2],
        [20_000, 6],
        [40_000, 3],
        [40_400, 3],
        [40_900, 3],
      ],
      restarts: [6000, 15_000, 30_000, 50_000],
      milliseconds: 100_000,
    });
    const [{arrivals, crashes}] = bad as [(typeof bad)[number]];
    const fifthAt = crashes[COUNTED_CRASHES - 1]!;
    const late = arrivals.filter((at) => at > fifthAt + CONTACT_MILLISECONDS);
    t.true(late.length <= ALLOWED_ARRIVALS, `${late.length} requests`);
  });
}
