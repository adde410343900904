import type {Experiment} from './experiment.ts';

/** The experiments by name, each loaded only when it is run. */
export const experiments: Readonly<Record<string, () => Promise<Experiment>>> =
  {
    'at-most-once': async () =>
      (await import('./atMostOnce/atMostOnceExperiment.ts'))
        .atMostOnceExperiment,
    propagation: async () =>
      (await import('./propagationExperiment.ts')).propagationExperiment,
    'store-outage': async () =>
      (await import('./storeOutageExperiment.ts')).storeOutageExperiment,
    split: async () => (await import('./splitExperiment.ts')).splitExperiment,
    steady: async () => {
      const {steadyScenario} = await import('./policy/steadyScenario.ts');
      const {runScenario} = await import('./policy/runScenario.ts');
      return runScenario(steadyScenario);
    },
  };
