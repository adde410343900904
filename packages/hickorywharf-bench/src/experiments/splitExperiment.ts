import {checkHistory} from '../checkHistory.ts';
import {countCrossHalfAttempts} from './configuration/countCrossHalfAttempts.ts';
import {getActivationMilliseconds} from './configuration/getActivationMilliseconds.ts';
import {getTrafficFigures} from './configuration/getTrafficFigures.ts';
import {runSplit} from './configuration/runSplit.ts';
import {splitPlan} from './configuration/splitPlan.ts';
import type {Experiment} from './experiment.ts';
import type {ExperimentReport} from './experimentReport.ts';

type Run = Awaited<ReturnType<typeof runSplit>>;
type Figure = ExperimentReport['runs'][number]['figures'][number];

const ROLLOUTS = ['allAtOnce', 'endpointByEndpoint'] as const;
/** Required time until a change is active in every process. */
const ACTIVATION_TARGET_MILLISECONDS = 3000;

function createFigure(
  name: string,
  value: number,
  unit: string,
  target: Figure['target'] = null,
): Figure {
  return {name, value, unit, target};
}

function getHalfFigures(run: Run, half: string): Figure[] {
  const {events, splitFrom, splitUntil, end} = run;
  const phases = {
    before: [0, splitFrom],
    during: [splitFrom, splitUntil],
    after: [splitUntil, end],
  } as const;
  return Object.entries(phases).flatMap(([phase, [from, until]]) => {
    const traffic = getTrafficFigures(events, `${half}-callers`, from, until);
    const toName = (figure: string) => `${half} ${phase}: ${figure}`;
    return [
      createFigure(toName('calls'), traffic.sent, 'calls'),
      createFigure(toName('attainment'), traffic.attainment * 100, '%'),
      createFigure(toName('lost'), traffic.lost, 'calls', {atMost: 0}),
      createFigure(toName('cut'), traffic.disconnected, 'calls'),
      createFigure(toName('refused'), traffic.refused, 'calls'),
      createFigure(toName('unknown'), traffic.unknown, 'calls'),
    ];
  });
}

function countCrossHalf(run: Run): number {
  const halves = Object.entries(splitPlan.halves);
  return countCrossHalfAttempts(run.events, {
    halves: new Map(halves.map(([half]) => [`${half}-callers`, half])),
    endpointHalves: new Map(
      halves.flatMap(([half, {endpoints}]) =>
        endpoints.map((name) => [name, half] as const),
      ),
    ),
    fromMilliseconds:
      run.steps.at(-1)!.wallMilliseconds + ACTIVATION_TARGET_MILLISECONDS,
  });
}

function getFigures(run: Run): Figure[] {
  const times = getActivationMilliseconds(run.events, run.steps, run.survivors);
  const breaches = checkHistory(run.events);
  const duplicates = breaches.filter(({promise}) => promise === 'at most once');
  const failures = run.steps.flatMap((step) => Object.values(step.failures));
  const failed = failures.reduce((sum, count) => sum + count, 0);
  const {accepted, refused, other} = run.race;
  return [
    createFigure('steps accepted', run.steps.length, 'changes'),
    createFigure('tries that the outage failed', failed, 'tries'),
    createFigure('in force everywhere, slowest', Math.max(...times), 'ms', {
      atMost: ACTIVATION_TARGET_MILLISECONDS,
    }),
    createFigure('race: accepted', accepted, 'operators', {atLeast: 1}),
    createFigure('race: refused', refused, 'operators'),
    createFigure('race: neither', other, 'operators', {atMost: 0}),
    createFigure('doubled actions', duplicates.length, 'keys', {atMost: 0}),
    createFigure('broken promises', breaches.length, 'breaches', {atMost: 0}),
    createFigure('work at the other half', countCrossHalf(run), 'attempts', {
      atMost: 0,
    }),
    ...Object.keys(splitPlan.halves).flatMap((half) =>
      getHalfFigures(run, half),
    ),
  ];
}

/** Splits an organisation on a running deployment, under load and faults. */
export const splitExperiment: Experiment = {
  summary: 'one organisation becomes two halves, under load and faults',
  async run({seeds, program, directory, print}) {
    const runs: ExperimentReport['runs'][number][] = [];
    for (const seed of seeds) {
      for (const rollout of ROLLOUTS) {
        print(`seed ${seed}: ${rollout}`);
        const run = await runSplit({rollout, seed, program, directory});
        for (const {promise, detail} of checkHistory(run.events)) {
          print(`BROKEN ${promise}: ${detail}`);
        }
        runs.push({
          policy: rollout,
          seed,
          figures: getFigures(run),
          series: {},
        });
      }
    }
    return {experiment: 'split', seeds, runs};
  },
};
