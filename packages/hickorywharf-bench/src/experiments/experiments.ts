import type {Experiment} from './experiment.ts';
import {loadScenario} from './policy/loadScenario.ts';

/** The experiments by name; each module is loaded on demand. */
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
    'stage-batches': async () =>
      (await import('./stageBatchesExperiment.ts')).stageBatchesExperiment,
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
