type Sections = Record<string, Record<string, string | number>>;

/** Settings that select the policies of a run, by kind of process. */
interface PolicySet {
  readonly entry: Sections;
  readonly endpoint: Sections;
}

function createBaseline(routing: string): PolicySet {
  return {
    entry: {
      policy: {routing, admission: 'none', ejection: 'none', hedging: 'none'},
    },
    endpoint: {queue: {order: 'firstInFirstOut'}},
  };
}

/**
 * The policy sets that experiments compare, by name. `chosen` is the program's
 * default. The next three are baselines without admission control, queue order,
 * hedging and ejection; each of the others removes one policy from `chosen`,
 * `noEjection` also hedging.
 */
export const policySets = {
  chosen: {entry: {}, endpoint: {}},
  random: createBaseline('random'),
  roundRobin: createBaseline('roundRobin'),
  leastReported: createBaseline('leastReported'),
  firstInFirstOut: {
    entry: {},
    endpoint: {queue: {order: 'firstInFirstOut'}},
  },
  noAdmission: {entry: {policy: {admission: 'none'}}, endpoint: {}},
  noEjection: {
    entry: {policy: {ejection: 'none', hedging: 'none'}},
    endpoint: {},
  },
  noPrefix: {entry: {policy: {routing: 'twoChoices'}}, endpoint: {}},
  noHedging: {entry: {policy: {hedging: 'none'}}, endpoint: {}},
} as const satisfies Readonly<Record<string, PolicySet>>;
