import path from 'node:path';
import {createPropagationPlan} from './configuration/createPropagationPlan.ts';
import {measurePropagation} from './configuration/measurePropagation.ts';
import {propagationWays} from './configuration/propagationWays.ts';
import {startWithOperators} from './configuration/startWithOperators.ts';
import {waitForSequence} from './configuration/waitForSequence.ts';
import type {Experiment} from './experiment.ts';
import type {ExperimentReport} from './experimentReport.ts';

/** Processes of each size; at 90 MB each, 80 would be over the memory given. */
const SIZES = [10, 20, 40];
const START_MILLISECONDS = 20_000;

/** Store calls, bytes and time to in force of the ways of propagation. */
export const propagationExperiment: Experiment = {
  summary: 'ways of bringing a change of configuration in force everywhere',
  async run({seeds, program, directory, print}) {
    const runs: ExperimentReport['runs'][number][] = [];
    for (const seed of seeds) {
      for (const size of SIZES) {
        for (const [way, settings] of Object.entries(propagationWays)) {
          const policy = `${way}, ${size} processes`;
          print(`seed ${seed}: ${policy}`);
          const {deployment, operatorsUrls} = await startWithOperators({
            plan: createPropagationPlan(size),
            program,
            directory: path.join(directory, `${seed}-${size}-${way}`),
            ...settings,
          });
          const urls = [...operatorsUrls.values()];
          try {
            await waitForSequence(urls, 1, START_MILLISECONDS);
            const figures = await measurePropagation({
              deployment,
              operatorsUrls: urls,
              seed,
            });
            for (const {name, value, unit} of figures) {
              print(`  ${name}: ${value.toFixed(2)} ${unit}`);
            }
            runs.push({policy, seed, figures, series: {}});
          } finally {
            await deployment.stop();
          }
        }
      }
    }
    return {experiment: 'propagation', seeds, runs};
  },
};
