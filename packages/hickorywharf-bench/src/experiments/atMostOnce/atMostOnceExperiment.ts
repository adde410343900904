import {createRandom} from 'hickorywharf-utils/createRandom';
import {getPercentile} from '../../getPercentile.ts';
import type {Experiment} from '../experiment.ts';
import type {ExperimentReport} from '../experimentReport.ts';
import type {Fault} from './fault.ts';
import {faults} from './faults.ts';
import {measureActionBytes} from './measureActionBytes.ts';
import {simulateClaims} from './simulateClaims.ts';
import {simulateIntervals} from './simulateIntervals.ts';
import {simulateLeases} from './simulateLeases.ts';
import type {StrategyResult} from './strategyResult.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];
type Strategy = (fault: Fault, random: () => number) => StrategyResult;

const SIMULATED_SECONDS = 1200;
/** At the design size, one in twenty of 23,000 requests a second. */
const DESIGN_SIZE_ACTIONS_PER_SECOND = 1150;
/** The requirement says only "several hundred". */
const STORE_WRITES_PER_SECOND = 400;
/** Homes of a small deployment. */
const HOMES = 3;
/** Assumed number of homes at the design size. */
const DESIGN_SIZE_HOMES = 600;
/** Actions of a small deployment. */
const REQUESTS_PER_SECOND = 18;

const createClaimStrategy =
  (homes: number, batchMilliseconds: number): Strategy =>
  (fault, random) =>
    simulateClaims({
      fault,
      random,
      homes,
      batchMilliseconds,
      seconds: SIMULATED_SECONDS,
      requestsPerSecond: DESIGN_SIZE_ACTIONS_PER_SECOND,
      storeWritesPerSecond: STORE_WRITES_PER_SECOND,
    });

const createIntervalStrategy =
  (intervalSeconds: number, hasSlotIdentity: boolean): Strategy =>
  (fault, random) =>
    simulateIntervals({
      fault,
      random,
      intervalSeconds,
      hasSlotIdentity,
      seconds: SIMULATED_SECONDS,
      requestsPerSecond: REQUESTS_PER_SECOND,
    });

const STRATEGIES: Readonly<Record<string, Strategy>> = {
  '(a) a claim a key': createClaimStrategy(HOMES, 0),
  '(b) claims batched, 3 homes, 20 ms': createClaimStrategy(HOMES, 20),
  '(b) claims batched, 600 homes, 20 ms': createClaimStrategy(
    DESIGN_SIZE_HOMES,
    20,
  ),
  '(c) leases of 15 s': (fault, random) =>
    simulateLeases({
      fault,
      random,
      homes: HOMES,
      leaseSeconds: 15,
      seconds: SIMULATED_SECONDS,
      requestsPerSecond: REQUESTS_PER_SECOND,
    }),
  '(d) intervals of 60 s': createIntervalStrategy(60, true),
  '(d) intervals of 300 s': createIntervalStrategy(300, true),
  '(d) intervals of 900 s': createIntervalStrategy(900, true),
  '(d) intervals of 900 s, restart waits': createIntervalStrategy(900, false),
};

function toFigures(fault: Fault, result: StrategyResult): Figure[] {
  const latencies = result.addedLatenciesMilliseconds;
  const homeWrites =
    (result.homeWrites / HOMES / SIMULATED_SECONDS) * DESIGN_SIZE_HOMES;
  const writes = result.requestWrites / SIMULATED_SECONDS + homeWrites;
  const createFigure = (name: string, value: number, unit: string): Figure => ({
    name: `${fault.name}: ${name}`,
    value: Math.round(value * 1000) / 1000,
    unit,
    target: null,
  });
  return [
    createFigure('refused', (100 * result.refused) / result.requests, '%'),
    createFigure('keys run twice', result.duplicated, 'keys'),
    createFigure('added latency, median', getPercentile(latencies, 0.5), 'ms'),
    createFigure('added latency, 99th', getPercentile(latencies, 0.99), 'ms'),
    createFigure("store writes at the letter's size", writes, '1/s'),
  ];
}

/** Compares strategies to run an action at most once, in simulated time. */
export const atMostOnceExperiment: Experiment = {
  summary: 'weighs the ways to run an action at most once (simulated time)',
  run({seeds, print}) {
    const runs = seeds.flatMap((seed) =>
      Object.entries(STRATEGIES).map(([policy, run]) => {
        print(`seed ${seed}: ${policy}`);
        const figures = faults.flatMap((fault) =>
          toFigures(fault, run(fault, createRandom(seed))),
        );
        return {policy, seed, figures, series: {}};
      }),
    );
    const bytes: Figure = {
      name: 'memory of a remembered action',
      value: Math.round(measureActionBytes()),
      unit: 'bytes',
      target: null,
    };
    const memory = {
      policy: '(d) memory',
      seed: 0,
      figures: [bytes],
      series: {},
    };
    return Promise.resolve({
      experiment: 'at-most-once',
      seeds,
      runs: [...runs, memory],
    });
  },
};
