import path from 'node:path';
import {createPropagationPlan} from './configuration/createPropagationPlan.ts';
import {measurePropagation} from './configuration/measurePropagation.ts';
import {propagationModes} from './configuration/propagationModes.ts';
import {startWithOperators} from './configuration/startWithOperators.ts';
import {waitForSequence} from './configuration/waitForSequence.ts';
import type {Experiment} from './experiment.ts';
import type {ExperimentReport} from './experimentReport.ts';

/** At 90 MB a process, 80 processes would exceed the available memory. */
const PROCESS_COUNTS = [10, 20, 40];
const START_TIMEOUT_MILLISECONDS = 20_000;

/** Compares the propagation modes by store calls, bytes and activation time. */
export const propagationExperiment: Experiment = {
  summary: 'ways of bringing a change of configuration in force everywhere',
  async run({seeds, program, directory, print}) {
    const runs: ExperimentReport['runs'][number][] = [];
    for (const seed of seeds) {
      for (const size of PROCESS_COUNTS) {
        for (const [mode, settings] of Object.entries(propagationModes)) {
          const policy = `${mode}, ${size} processes`;
          print(`seed ${seed}: ${policy}`);
          const {deployment, operatorsUrls} = await startWithOperators({
            plan: createPropagationPlan(size),
            program,
            directory: path.join(directory, `${seed}-${size}-${mode}`),
            ...settings,
          });
          const urls = [...operatorsUrls.values()];
          try {
            await waitForSequence(urls, 1, START_TIMEOUT_MILLISECONDS);
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
