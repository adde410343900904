import type {Experiment} from './experiment.ts';

/** The experiments by name, each loaded only when it is run. */
export const experiments: Readonly<Record<string, () => Promise<Experiment>>> =
  {
    'at-most-once': async () =>
      (await import('./atMostOnce/atMostOnceExperiment.ts'))
        .atMostOnceExperiment,
    steady: async () => {
      const {steadyScenario} = await import('./policy/steadyScenario.ts');
      const {runScenario} = await import('./policy/runScenario.ts');
      return runScenario(steadyScenario);
    },
  };
