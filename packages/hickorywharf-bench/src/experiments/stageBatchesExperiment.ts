import {readFileSync} from 'node:fs';
import {burstLoad} from '../stages/burstLoad.ts';
import {simulateStages} from '../stages/simulateStages.ts';
import type {StageLoad} from '../stages/stageLoad.ts';
import {stagePolicies} from '../stages/stagePolicies.ts';
import type {Experiment} from './experiment.ts';

const policies = Object.keys(stagePolicies) as Array<
  keyof typeof stagePolicies
>;

/** Compares the batching policies of stage calls in a simulation. */
export const stageBatchesExperiment: Experiment = {
  summary: 'calls of stages under bursts, one request a call to whole groups',
  async run({seeds, load, print}) {
    const stageLoad: StageLoad =
      load === null ? burstLoad : JSON.parse(readFileSync(load, 'utf8'));
    const runs = policies.flatMap((policy) =>
      seeds.map((seed) => {
        const outcome = simulateStages(stageLoad, policy, seed);
        print(`${policy} seed ${seed}: worth ${outcome.worth.toFixed(3)}`);
        const createShareFigure = (
          name: 'worth' | 'timely' | 'served' | 'refused',
        ) => ({
          name,
          value: outcome[name],
          unit: 'share',
          target: null,
        });
        const figures = [
          createShareFigure('worth'),
          createShareFigure('timely'),
          createShareFigure('served'),
          createShareFigure('refused'),
          {
            name: 'time until refused',
            value: outcome.refusalMilliseconds,
            unit: 'ms',
            target: null,
          },
        ];
        return {policy, seed, figures, series: {}};
      }),
    );
    return {experiment: 'stage-batches', seeds, runs};
  },
};
