import {createRandom} from 'hickorywharf-utils/createRandom';
import {campaignPlan} from './campaignPlan.ts';
import type {Fault} from './fault.ts';
import {faults} from './faults.ts';

/** A fault with its target and its times. */
interface PlannedFault {
  readonly name: keyof typeof faults;
  readonly target: string;
  /** From the start of the traffic. */
  readonly atMilliseconds: number;
  readonly durationMilliseconds: number;
}

interface FaultPlan {
  readonly arrangement: (typeof ARRANGEMENTS)[number];
  readonly faults: readonly PlannedFault[];
}

const ARRANGEMENTS = ['in turn', 'at once', 'the same twice'] as const;
const FIRST_FAULT_MILLISECONDS = 1000;
const MINIMUM_DURATION_MILLISECONDS = 300;
const DURATION_SPREAD_MILLISECONDS = 2200;
const GAP_MILLISECONDS = 400;

const TARGETS: Record<Fault['targets'], readonly string[]> = {
  entry: campaignPlan.entries,
  endpoint: campaignPlan.endpoints.map(({name}) => name),
  desk: campaignPlan.endpoints
    .filter(({pool}) => pool === 'desks')
    .map(({name}) => name),
  store: ['store'],
};

function choose<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)]!;
}

/**
 * Derives the faults of one run from its seed: two in turn, two at once, or the
 * same one twice. Two different faults have different targets, unless both are
 * faults of the store, and at most one of them is an entry, so that there is
 * always an entry to send to.
 *
 * @example
 *     planFaults(7).faults;
 */
export function planFaults(seed: number): FaultPlan {
  const random = createRandom(seed);
  const arrangement = ARRANGEMENTS[seed % ARRANGEMENTS.length]!;
  const names = Object.keys(faults) as (keyof typeof faults)[];
  const firstName =
    names[Math.floor(seed / ARRANGEMENTS.length) % names.length]!;
  const pickDurationMilliseconds = () =>
    MINIMUM_DURATION_MILLISECONDS +
    Math.floor(random() * DURATION_SPREAD_MILLISECONDS);
  const first: PlannedFault = {
    name: firstName,
    target: choose(TARGETS[faults[firstName].targets], random),
    atMilliseconds: FIRST_FAULT_MILLISECONDS,
    durationMilliseconds: pickDurationMilliseconds(),
  };
  const afterFirst =
    first.atMilliseconds + first.durationMilliseconds + GAP_MILLISECONDS;
  if (arrangement === 'the same twice') {
    const repeated = {...first, atMilliseconds: afterFirst};
    return {arrangement, faults: [first, repeated]};
  }
  const others = names.filter((name) => {
    const {targets} = faults[name];
    return (
      name !== firstName &&
      (targets !== 'entry' || targets !== faults[firstName].targets)
    );
  });
  const secondName = choose(others, random);
  const targets = TARGETS[faults[secondName].targets].filter(
    (target) => target !== first.target || target === 'store',
  );
  const second: PlannedFault = {
    name: secondName,
    target: choose(targets, random),
    atMilliseconds:
      arrangement === 'at once' ? FIRST_FAULT_MILLISECONDS : afterFirst,
    durationMilliseconds: pickDurationMilliseconds(),
  };
  return {arrangement, faults: [first, second]};
}
