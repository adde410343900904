import type {LoadKind} from './loadKind.ts';

const NO_PREFIX = {count: 0, characters: 0} as const;

/** The kinds of requests that callers send, by the deployment's name. */
export const loadMixes: Readonly<
  Record<'lusacine' | 'authority', readonly LoadKind[]>
> = {
  lusacine: [
    {
      pipeline: 'damage-report',
      weight: 20,
      characters: [2000, 4000],
      tokens: [16, 32],
      prefixes: NO_PREFIX,
    },
    {
      pipeline: 'reel-note',
      weight: 40,
      characters: [200, 600],
      tokens: [8, 20],
      prefixes: {count: 8, characters: 1024},
    },
    {
      pipeline: 'caption-batch',
      weight: 25,
      characters: [100, 400],
      tokens: [12, 24],
      prefixes: {count: 12, characters: 2048},
    },
    {
      pipeline: 'print-booking',
      weight: 15,
      characters: [40, 120],
      tokens: [1, 1],
      prefixes: NO_PREFIX,
    },
  ],
  authority: [
    {
      pipeline: 'catalogue-question',
      weight: 55,
      characters: [40, 160],
      tokens: [4, 12],
      prefixes: {count: 8, characters: 1024},
    },
    {
      pipeline: 'loan-summary',
      weight: 20,
      characters: [1000, 2500],
      tokens: [20, 36],
      prefixes: NO_PREFIX,
    },
    {
      pipeline: 'condition-report',
      weight: 15,
      characters: [300, 900],
      tokens: [12, 24],
      prefixes: {count: 4, characters: 512},
    },
    {
      pipeline: 'toy-checkout',
      weight: 10,
      characters: [20, 80],
      tokens: [1, 1],
      prefixes: NO_PREFIX,
    },
  ],
};
