import type {DeploymentPlan} from '../../deployment/deploymentPlan.ts';

const ENTRIES_SHARE = 0.2;
const MINIMUM_ENTRIES = 2;
const SLOTS = 4;

/**
 * Creates a deployment of a number of processes, a fifth of them entries, but
 * at least two.
 *
 * @example
 *     createPropagationPlan(20).entries.length; // 4
 */
export function createPropagationPlan(processes: number): DeploymentPlan {
  const entries = Math.max(
    MINIMUM_ENTRIES,
    Math.round(processes * ENTRIES_SHARE),
  );
  return {
    name: `propagation-${processes}`,
    entries: Array.from({length: entries}, (_, index) => `entry-${index + 1}`),
    failureDomains: ['domain-1', 'domain-2', 'domain-3'],
    accountKey: 'propagation',
    endpoints: Array.from({length: processes - entries}, (_, index) => ({
      name: `encoder-${index + 1}`,
      pool: 'encoders',
      backend: 'pool' as const,
      slots: SLOTS,
    })),
    pipelines: [
      {
        kind: 'pipeline',
        schemaVersion: 1,
        name: 'encode',
        deadlineMilliseconds: 2000,
        stages: [
          {
            name: 'encode',
            kind: 'encode',
            pool: 'encoders',
            idempotent: true,
          },
        ],
      },
    ],
  };
}
