import type {StageLoad} from './stageLoad.ts';

type RequestKind = StageLoad['kinds'][string];

const SMALL_ACCOUNTS = 15;
/** Requests of a small account in a second. */
const SMALL_RATE = 1.8;
/** Requests of the large account in a second, as many as half of all others'. */
const LARGE_RATE = 13.5;

const review: Omit<RequestKind, 'perSecond'> = {
  worth: 1.9,
  lateWorth: 0.28,
  priority: 1,
  targetMilliseconds: 1500,
  deadlineMilliseconds: 6000,
  stages: [
    {service: 'sign', pieces: 5, resultBytes: 10_000, workShare: 1},
    {service: 'file', pieces: 8, resultBytes: 1000, workShare: 1},
  ],
};

const small = Array.from({length: SMALL_ACCOUNTS}, (_item, index) => [
  `small-${index + 1}`,
  {
    ...review,
    perSecond: SMALL_RATE,
    account: `small-${index + 1}`,
    retries: {most: 1},
  },
]);

/**
 * A large account beside many small ones at 26 instances. For half of the time
 * it sends three times as much as usual, and its refused requests return at
 * once, whatever they were told.
 */
export const competingLoad: StageLoad = {
  seconds: 30,
  instances: 26,
  services: {
    sign: {
      endpoints: 2,
      batch: 25,
      callMilliseconds: 150,
      pieceMilliseconds: 5.1,
      roomBytes: 4_500_000,
    },
    file: {
      endpoints: 2,
      batch: 42,
      callMilliseconds: 150,
      pieceMilliseconds: 3,
      roomBytes: 740_000,
    },
  },
  kinds: {
    large: {
      ...review,
      perSecond: LARGE_RATE,
      account: 'large',
      retries: {most: 20, afterMilliseconds: 50},
    },
    ...(Object.fromEntries(small) as Record<string, RequestKind>),
  },
  bursts: [{kind: 'large', fromSecond: 5, toSecond: 20, factor: 3}],
};
