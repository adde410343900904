import type {Experiment} from '../experiment.ts';
import {steadyScenario} from './steadyScenario.ts';
import {overloadScenario} from './overloadScenario.ts';
import {burstScenario} from './burstScenario.ts';
import {slowEndpointScenario} from './slowEndpointScenario.ts';
import {failureDomainScenario} from './failureDomainScenario.ts';
import {headOfLineScenario} from './headOfLineScenario.ts';
import {fairnessScenario} from './fairnessScenario.ts';
import {prefixScenario} from './prefixScenario.ts';
import {laggingLoadScenario} from './laggingLoadScenario.ts';
import {runScenario} from './runScenario.ts';

const SCENARIOS = {
  steady: steadyScenario,
  overload: overloadScenario,
  burst: burstScenario,
  'slow-endpoint': slowEndpointScenario,
  'failure-domain': failureDomainScenario,
  'head-of-line': headOfLineScenario,
  fairness: fairnessScenario,
  prefix: prefixScenario,
  'lagging-load': laggingLoadScenario,
} as const;

/**
 * Returns the experiment of a load and fault scenario by its name.
 *
 * @example
 *     (await loadScenario('steady')).summary;
 */
export async function loadScenario(
  name: keyof typeof SCENARIOS,
): Promise<Experiment> {
  return runScenario(SCENARIOS[name]);
}
