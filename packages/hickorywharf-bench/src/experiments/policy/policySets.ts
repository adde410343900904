type Sections = Record<string, Record<string, string | number>>;

/** Settings by which an experiment chooses the policies of a run. */
interface PolicySet {
  readonly entry: Sections;
  readonly endpoint: Sections;
}

function createPlain(routing: string): PolicySet {
  return {
    entry: {
      policy: {routing, admission: 'none', ejection: 'none', hedging: 'none'},
    },
    endpoint: {queue: {order: 'firstInFirstOut'}},
  };
}

/**
 * The policies that experiments compare, by name. `chosen` is what the program
 * does by default. The next three are whole systems without admission, order,
 * hedges and ejection; the others take one policy out of `chosen`.
 */
export const policySets = {
  chosen: {entry: {}, endpoint: {}},
  random: createPlain('random'),
  roundRobin: createPlain('roundRobin'),
  leastReported: createPlain('leastReported'),
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
