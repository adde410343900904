import type {StageLoad} from './stageLoad.ts';

const chain = [
  {service: 'scan', pieces: 1, resultBytes: 8000, workShare: 0.3},
  {service: 'colour', pieces: 8, resultBytes: 60_000, workShare: 1},
  {service: 'portal', pieces: 16, resultBytes: 6000, workShare: 1},
];

/**
 * The stages and limits of the Lusacine deployment, with a burst of each of the
 * two larger kinds of requests while two endpoints are down.
 */
export const burstLoad: StageLoad = {
  seconds: 30,
  services: {
    scan: {
      endpoints: 3,
      batch: 7,
      callMilliseconds: 150,
      pieceMilliseconds: 18.3,
      roomBytes: 38_500_000,
    },
    colour: {
      endpoints: 3,
      batch: 24,
      callMilliseconds: 150,
      pieceMilliseconds: 5.4,
      roomBytes: 4_110_000,
    },
    portal: {
      endpoints: 3,
      batch: 49,
      callMilliseconds: 150,
      pieceMilliseconds: 2.6,
      roomBytes: 849_000,
    },
  },
  kinds: {
    report: {
      perSecond: 8,
      worth: 4.4,
      lateWorth: 0.66,
      priority: 0,
      targetMilliseconds: 1000,
      deadlineMilliseconds: 6000,
      stages: [
        {service: 'scan', pieces: 2.5, resultBytes: 3_000_000, workShare: 1},
      ],
    },
    note: {
      perSecond: 13.2,
      worth: 1.1,
      lateWorth: 0.17,
      priority: 1,
      targetMilliseconds: 1900,
      deadlineMilliseconds: 6000,
      stages: chain,
    },
    caption: {
      perSecond: 8.8,
      worth: 0.55,
      lateWorth: 0.08,
      priority: 2,
      targetMilliseconds: 2200,
      deadlineMilliseconds: 15_000,
      stages: chain,
    },
  },
  bursts: [
    {kind: 'report', fromSecond: 5, toSecond: 10, factor: 4},
    {kind: 'note', fromSecond: 15, toSecond: 20, factor: 3},
  ],
};
