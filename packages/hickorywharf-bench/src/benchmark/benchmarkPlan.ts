import type {DeploymentPlan} from '../deployment/deploymentPlan.ts';

const DEADLINE_MILLISECONDS = 20_000;

/** One entry in front of one encoder and four engines, for the benchmark. */
export const benchmarkPlan: DeploymentPlan = {
  name: 'benchmark',
  entries: ['entry-1'],
  failureDomains: ['domain-1'],
  accountKey: 'benchmark',
  endpoints: [
    {name: 'encoder-1', pool: 'encoders', backend: 'pool', slots: 64},
    ...[1, 2, 3, 4].map((number) => ({
      name: `engine-${number}`,
      pool: 'engines',
      backend: 'engine' as const,
      slots: 256,
    })),
  ],
  pipelines: [
    {
      kind: 'pipeline',
      schemaVersion: 1,
      name: 'encode-only',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      stages: [
        {name: 'encode', kind: 'encode', pool: 'encoders', idempotent: true},
      ],
    },
    {
      kind: 'pipeline',
      schemaVersion: 1,
      name: 'generate-only',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      stages: [
        {name: 'generate', kind: 'generate', pool: 'engines', idempotent: true},
      ],
    },
  ],
};
