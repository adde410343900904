import type {Experiment} from './experiment.ts';
import {loadScenario} from './policy/loadScenario.ts';

/** The experiments by name, each loaded only when it is run. */
export const experiments: Readonly<Record<string, () => Promise<Experiment>>> =
  {
    propagation: async () =>
      (await import('./propagationExperiment.ts')).propagationExperiment,
    'store-outage': async () =>
      (await import('./storeOutageExperiment.ts')).storeOutageExperiment,
    split: async () => (await import('./splitExperiment.ts')).splitExperiment,
    steady: () => loadScenario('steady'),
    overload: () => loadScenario('overload'),
    burst: () => loadScenario('burst'),
    'slow-endpoint': () => loadScenario('slow-endpoint'),
    'failure-domain': () => loadScenario('failure-domain'),
    'head-of-line': () => loadScenario('head-of-line'),
    fairness: () => loadScenario('fairness'),
    prefix: () => loadScenario('prefix'),
    'lagging-load': () => loadScenario('lagging-load'),
  };
