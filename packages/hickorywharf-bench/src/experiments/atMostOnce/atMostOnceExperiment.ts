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
import type {WayResult} from './wayResult.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];
type Way = (fault: Fault, random: () => number) => WayResult;

const SECONDS = 1200;
/** One request in twenty of the letter's 23,000 a second. */
const LETTER_ACTIONS_PER_SECOND = 1150;
/** "Several hundred". */
const STORE_WRITES_PER_SECOND = 400;
/** Homes of the small run, and an assumption for the letter's size. */
const HOMES = 3;
const LETTER_HOMES = 600;
const REQUESTS_PER_SECOND = 18;

const createClaims =
  (homes: number, batchMilliseconds: number): Way =>
  (fault, random) =>
    simulateClaims({
      fault,
      random,
      homes,
      batchMilliseconds,
      seconds: SECONDS,
      requestsPerSecond: LETTER_ACTIONS_PER_SECOND,
      storeWritesPerSecond: STORE_WRITES_PER_SECOND,
    });

const createIntervals =
  (intervalSeconds: number, knowsSlot: boolean): Way =>
  (fault, random) =>
    simulateIntervals({
      fault,
      random,
      intervalSeconds,
      knowsSlot,
      seconds: SECONDS,
      requestsPerSecond: REQUESTS_PER_SECOND,
    });

const WAYS: Readonly<Record<string, Way>> = {
  '(a) a claim a key': createClaims(HOMES, 0),
  '(b) claims batched, 3 homes, 20 ms': createClaims(HOMES, 20),
  '(b) claims batched, 600 homes, 20 ms': createClaims(LETTER_HOMES, 20),
  '(c) leases of 15 s': (fault, random) =>
    simulateLeases({
      fault,
      random,
      homes: HOMES,
      leaseSeconds: 15,
      seconds: SECONDS,
      requestsPerSecond: REQUESTS_PER_SECOND,
    }),
  '(d) intervals of 60 s': createIntervals(60, true),
  '(d) intervals of 300 s': createIntervals(300, true),
  '(d) intervals of 900 s': createIntervals(900, true),
  '(d) intervals of 900 s, restart waits': createIntervals(900, false),
};

function toFigures(fault: Fault, result: WayResult): Figure[] {
  const waits = result.addedMilliseconds;
  const homeWrites = (result.homeWrites / HOMES / SECONDS) * LETTER_HOMES;
  const writes = result.requestWrites / SECONDS + homeWrites;
  const figure = (name: string, value: number, unit: string): Figure => ({
    name: `${fault.name}: ${name}`,
    value: Math.round(value * 1000) / 1000,
    unit,
    target: null,
  });
  return [
    figure('refused', (100 * result.refused) / result.requests, '%'),
    figure('keys run twice', result.doubled, 'keys'),
    figure('added latency, median', getPercentile(waits, 0.5), 'ms'),
    figure('added latency, 99th', getPercentile(waits, 0.99), 'ms'),
    figure("store writes at the letter's size", writes, '1/s'),
  ];
}

/** Weighs the ways to run an action at most once, in simulated time. */
export const atMostOnceExperiment: Experiment = {
  summary: 'weighs the ways to run an action at most once (simulated time)',
  run({seeds, print}) {
    const runs = seeds.flatMap((seed) =>
      Object.entries(WAYS).map(([policy, run]) => {
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
