import {checkHistory} from '../checkHistory.ts';
import {getActivationMilliseconds} from './configuration/getActivationMilliseconds.ts';
import {getTrafficFigures} from './configuration/getTrafficFigures.ts';
import {runStoreOutage} from './configuration/runStoreOutage.ts';
import type {Experiment} from './experiment.ts';
import type {ExperimentReport} from './experimentReport.ts';

type Run = Awaited<ReturnType<typeof runStoreOutage>>;
type Figure = ExperimentReport['runs'][number]['figures'][number];

const OUTAGES = ['refused', 'slow', 'restored'] as const;
const CALLERS = 'authority-callers';
/** Required time until a change is active in every process. */
const ACTIVATION_TARGET_MILLISECONDS = 3000;

function getTrafficByPhase(run: Run): Figure[] {
  const {events, outageFrom, outageUntil} = run;
  const phases = {
    before: [0, outageFrom],
    during: [outageFrom, outageUntil],
    after: [outageUntil, Infinity],
  } as const;
  return Object.entries(phases).flatMap(([phase, [from, until]]) => {
    const traffic = getTrafficFigures(events, CALLERS, from, until);
    const attainment = traffic.attainment * 100;
    const counts = {
      calls: traffic.sent,
      lost: traffic.lost,
      cut: traffic.disconnected,
      refused: traffic.refused,
      unknown: traffic.unknown,
    };
    return [
      {
        name: `${phase}: attainment`,
        value: attainment,
        unit: '%',
        target: null,
      },
      ...Object.entries(counts).map(([name, value]) => ({
        name: `${phase}: ${name}`,
        value,
        unit: 'calls',
        target: name === 'lost' ? {atMost: 0} : null,
      })),
    ];
  });
}

function getFigures(run: Run): Figure[] {
  const {events, applied, processNames} = run;
  const [activationMilliseconds = Infinity] = getActivationMilliseconds(
    events,
    [applied],
    processNames,
  );
  return [
    {
      name: 'apply in the outage: exit code',
      value: run.applyCode ?? -1,
      unit: 'code',
      target: null,
    },
    {
      name: 'an entry started in the outage: time until ready',
      value: run.readyMilliseconds,
      unit: 'ms',
      target: null,
    },
    {
      name: 'store calls in the worst second of the outage',
      value: run.callsPeakInOutage,
      unit: 'calls',
      target: null,
    },
    {
      name: 'store calls in the worst second after it',
      value: run.callsPeakAfter,
      unit: 'calls',
      target: null,
    },
    {
      name: 'a change after the outage: in force everywhere',
      value: activationMilliseconds,
      unit: 'ms',
      target: {atMost: ACTIVATION_TARGET_MILLISECONDS},
    },
    {
      name: 'a change after the outage: sequence',
      value: applied.sequence,
      unit: '',
      target: null,
    },
    {
      name: 'broken promises',
      value: checkHistory(events).length,
      unit: 'breaches',
      target: {atMost: 0},
    },
    ...getTrafficByPhase(run),
  ];
}

/** Runs a deployment under load through outages of the store. */
export const storeOutageExperiment: Experiment = {
  summary: 'the store refuses, is slow, or comes back with an older state',
  async run({seeds, program, directory, print}) {
    const runs: ExperimentReport['runs'][number][] = [];
    for (const seed of seeds) {
      for (const outage of OUTAGES) {
        print(`seed ${seed}: ${outage}`);
        const run = await runStoreOutage({outage, seed, program, directory});
        for (const {promise, detail} of checkHistory(run.events)) {
          print(`BROKEN ${promise}: ${detail}`);
        }
        runs.push({policy: outage, seed, figures: getFigures(run), series: {}});
      }
    }
    return {experiment: 'store-outage', seeds, runs};
  },
};
