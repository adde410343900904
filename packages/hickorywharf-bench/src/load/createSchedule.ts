import {createRandom} from 'hickorywharf-utils/createRandom';
import type {LoadKind} from './loadKind.ts';
import type {ScheduledCall} from './scheduledCall.ts';

interface Phase {
  readonly seconds: number;
  readonly ratePerSecond: number;
  /** Only calls of this pipeline are sent, at their share of the rate. */
  readonly only?: string;
}

interface ScheduleOptions {
  readonly seed: number;
  /** Arrivals are a Poisson process whose rate follows these phases. */
  readonly phases: readonly Phase[];
  readonly mix: readonly LoadKind[];
  /** Accounts by their share of the arrivals. */
  readonly accounts: Readonly<Record<string, number>>;
}

const MILLISECONDS = 1000;
const PREFIX_CHARACTERS = 'abcdefghijklmnopqrstuvwxyz ';

function pickByWeight<Item>(
  items: readonly Item[],
  getWeight: (item: Item) => number,
  random: () => number,
): Item {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let left = random() * total;
  for (const item of items) {
    left -= getWeight(item);
    if (left < 0) return item;
  }
  return items.at(-1)!;
}

function pickBetween(
  [minimum, maximum]: readonly [number, number],
  random: () => number,
): number {
  return minimum + Math.floor(random() * (maximum - minimum + 1));
}

function createText(length: number, random: () => number): string {
  let text = '';
  while (text.length < length) {
    const index = Math.floor(random() * PREFIX_CHARACTERS.length);
    text += PREFIX_CHARACTERS[index];
  }
  return text;
}

/**
 * The calls of a run, each with the time at which it is meant to be sent. The
 * same seed gives the same calls.
 *
 * @example
 *     createSchedule({seed: 1, phases: [{seconds: 10, ratePerSecond: 70}], mix, accounts});
 */
export function createSchedule(options: ScheduleOptions): ScheduledCall[] {
  const {mix, accounts} = options;
  const random = createRandom(options.seed);
  const prefixes = new Map<string, string>();
  const calls: ScheduledCall[] = [];

  function getPrefix(kind: LoadKind): string {
    const {count, characters} = kind.prefixes;
    if (count === 0) return '';
    const name = `${kind.pipeline}/${Math.floor(random() * count)}`;
    const known = prefixes.get(name) ?? createText(characters, random);
    prefixes.set(name, known);
    return known;
  }

  function createCall(atMilliseconds: number, phase: number): ScheduledCall {
    const kind = pickByWeight(mix, ({weight}) => weight, random);
    const [account] = pickByWeight(
      Object.entries(accounts),
      ([, share]) => share,
      random,
    );
    const prefix = getPrefix(kind);
    const own = createText(pickBetween(kind.characters, random), random);
    return {
      atMilliseconds,
      phase,
      account,
      pipeline: kind.pipeline,
      text: `${prefix}${calls.length} ${own}`,
      prefixCharacters: prefix.length,
      maximumTokens: pickBetween(kind.tokens, random),
      entryShare: random(),
    };
  }

  let start = 0;
  for (const [
    phase,
    {seconds, ratePerSecond, only},
  ] of options.phases.entries()) {
    const end = start + seconds * MILLISECONDS;
    let at = start;
    for (;;) {
      at += (-Math.log(1 - random()) / ratePerSecond) * MILLISECONDS;
      if (at >= end) break;
      const call = createCall(at, phase);
      if (only === undefined || call.pipeline === only) calls.push(call);
    }
    start = end;
  }
  return calls;
}
