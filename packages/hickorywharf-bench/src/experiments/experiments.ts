import type {Experiment} from './experiment.ts';

/** The experiments by name, each loaded only when it is run. */
export const experiments: Readonly<Record<string, () => Promise<Experiment>>> =
  {
    propagation: async () =>
      (await import('./propagationExperiment.ts')).propagationExperiment,
    split: async () => (await import('./splitExperiment.ts')).splitExperiment,
  };
