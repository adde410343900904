import {createRandom} from 'hickorywharf-utils/createRandom';
import {campaignPlan} from './campaignPlan.ts';
import type {Fault} from './fault.ts';
import {faults} from './faults.ts';

/** A fault with its target and its times, from the seed. */
interface PlannedFault {
  readonly name: keyof typeof faults;
  readonly target: string;
  /** From the start of the traffic. */
  readonly atMilliseconds: number;
  readonly forMilliseconds: number;
}

interface FaultPlan {
  readonly arrangement: (typeof ARRANGEMENTS)[number];
  readonly faults: readonly PlannedFault[];
}

const ARRANGEMENTS = ['in turn', 'at once', 'the same twice'] as const;
const FIRST_MILLISECONDS = 1000;
const MINIMUM_MILLISECONDS = 300;
const SPREAD_MILLISECONDS = 2200;
const PAUSE_MILLISECONDS = 400;

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
 * The faults of one run, from its seed alone: two in turn, two at once, or the
 * same twice. Two faults at once strike different targets and at most one
 * entry, so that there is always an entry to send to.
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
  const getLength = () =>
    MINIMUM_MILLISECONDS + Math.floor(random() * SPREAD_MILLISECONDS);
  const first: PlannedFault = {
    name: firstName,
    target: choose(TARGETS[faults[firstName].targets], random),
    atMilliseconds: FIRST_MILLISECONDS,
    forMilliseconds: getLength(),
  };
  const afterFirst =
    first.atMilliseconds + first.forMilliseconds + PAUSE_MILLISECONDS;
  if (arrangement === 'the same twice') {
    const again = {...first, atMilliseconds: afterFirst};
    return {arrangement, faults: [first, again]};
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
    atMilliseconds: arrangement === 'at once' ? FIRST_MILLISECONDS : afterFirst,
    forMilliseconds: getLength(),
  };
  return {arrangement, faults: [first, second]};
}
