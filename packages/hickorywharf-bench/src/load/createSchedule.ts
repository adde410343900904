import {createRandom} from 'hickorywharf-utils/createRandom';
import type {LoadKind} from './loadKind.ts';
import type {ScheduledCall} from './scheduledCall.ts';

interface Phase {
  readonly seconds: number;
  readonly ratePerSecond: number;
  /**
   * Sends only the calls of this pipeline, at their share of the rate; the
   * other arrivals are drawn and dropped.
   */
  readonly only?: string;
}

interface ScheduleOptions {
  readonly seed: number;
  /** Arrivals are a Poisson process whose rate follows these phases. */
  readonly phases: readonly Phase[];
  readonly mix: readonly LoadKind[];
  /** Names of accounts with their relative shares of the arrivals. */
  readonly accounts: Readonly<Record<string, number>>;
}

const MILLISECONDS_PER_SECOND = 1000;
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz ';

function pickByWeight<Item>(
  items: readonly Item[],
  getWeight: (item: Item) => number,
  random: () => number,
): Item {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let remaining = random() * total;
  for (const item of items) {
    remaining -= getWeight(item);
    if (remaining < 0) return item;
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
    const index = Math.floor(random() * ALPHABET.length);
    text += ALPHABET[index];
  }
  return text;
}

/**
 * Creates the calls of a run, ordered by the times at which they are to be
 * sent. The same seed gives the same calls.
 *
 * @example
 *     const phases = [{seconds: 10, ratePerSecond: 70}];
 *     createSchedule({seed: 1, phases, mix, accounts});
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
    const sharedPrefix = prefixes.get(name) ?? createText(characters, random);
    prefixes.set(name, sharedPrefix);
    return sharedPrefix;
  }

  function createCall(atMilliseconds: number, phase: number): ScheduledCall {
    const kind = pickByWeight(mix, ({weight}) => weight, random);
    const [account] = pickByWeight(
      Object.entries(accounts),
      ([, share]) => share,
      random,
    );
    const prefix = getPrefix(kind);
    const suffix = createText(pickBetween(kind.characters, random), random);
    return {
      atMilliseconds,
      phase,
      account,
      pipeline: kind.pipeline,
      text: `${prefix}${calls.length} ${suffix}`,
      prefixCharacters: prefix.length,
      maximumTokens: pickBetween(kind.tokens, random),
      entryFraction: random(),
    };
  }

  let start = 0;
  for (const [
    phase,
    {seconds, ratePerSecond, only},
  ] of options.phases.entries()) {
    const end = start + seconds * MILLISECONDS_PER_SECOND;
    let at = start;
    for (;;) {
      at += (-Math.log(1 - random()) / ratePerSecond) * MILLISECONDS_PER_SECOND;
      if (at >= end) break;
      const call = createCall(at, phase);
      if (only === undefined || call.pipeline === only) calls.push(call);
    }
    start = end;
  }
  return calls;
}
