import type {StageLoad} from './stageLoad.ts';

const chain = [
  {
    service: 'registry',
    after: [],
    pieces: 1,
    resultBytes: 8000,
    workShare: 0.3,
  },
  {service: 'repair', pieces: 6, resultBytes: 60_000, workShare: 1},
  {service: 'notices', pieces: 16, resultBytes: 6000, workShare: 1},
];

/**
 * The stages and limits of the Toy Lending Authority's enlarged deployment. The
 * largest kind of requests reads large results in parallel to a chain of three
 * stages, and has a burst while five endpoints of the first service are down.
 */
export const chainLoad: StageLoad = {
  seconds: 20,
  services: {
    registry: {
      endpoints: 8,
      batch: 8,
      callMilliseconds: 150,
      pieceMilliseconds: 16,
      roomBytes: 38_000_000,
    },
    repair: {
      endpoints: 10,
      batch: 38,
      callMilliseconds: 150,
      pieceMilliseconds: 3.41,
      roomBytes: 6_755_000,
    },
    notices: {
      endpoints: 11,
      batch: 81,
      callMilliseconds: 150,
      pieceMilliseconds: 1.58,
      roomBytes: 1_417_000,
    },
  },
  kinds: {
    history: {
      perSecond: 62,
      worth: 4.4,
      lateWorth: 0.66,
      priority: 0,
      targetMilliseconds: 1715,
      deadlineMilliseconds: 8071,
      stages: [
        ...chain,
        {
          service: 'registry',
          after: [],
          share: 0.4,
          pieces: 1.5,
          resultBytes: 3_000_000,
          workShare: 1,
        },
      ],
    },
    report: {
      perSecond: 71,
      worth: 1.1,
      lateWorth: 0.17,
      priority: 1,
      targetMilliseconds: 2208,
      deadlineMilliseconds: 6022,
      stages: chain,
    },
    chat: {
      perSecond: 47.5,
      worth: 0.55,
      lateWorth: 0.083,
      priority: 2,
      targetMilliseconds: 1706,
      deadlineMilliseconds: 15_056,
      stages: [
        {
          service: 'registry',
          share: 0.7,
          pieces: 2.5,
          resultBytes: 3_000_000,
          workShare: 1,
        },
      ],
    },
  },
  bursts: [{kind: 'history', fromSecond: 5, toSecond: 10, factor: 2.2}],
};
