import type {DeploymentPlan} from '../deployment/deploymentPlan.ts';

type Stage = DeploymentPlan['pipelines'][number]['stages'][number];

const DEADLINE_MILLISECONDS = 3000;

const encode: Stage = {
  name: 'encode',
  kind: 'encode',
  pool: 'encoders',
  idempotent: true,
};
const generate: Stage = {
  name: 'generate',
  kind: 'generate',
  pool: 'engines',
  idempotent: true,
};
const checkout: Stage = {
  name: 'checkout',
  kind: 'call',
  pool: 'desks',
  idempotent: false,
  action: 'checkout',
};

/**
 * A deployment with two processes of each kind, small enough to run several at
 * once.
 */
export const campaignPlan: DeploymentPlan = {
  name: 'campaign',
  entries: ['entry-1', 'entry-2'],
  failureDomains: ['domain-1', 'domain-2'],
  accountKey: 'demo-district-library',
  endpoints: [
    {name: 'engine-1', pool: 'engines', backend: 'engine', slots: 16},
    {name: 'engine-2', pool: 'engines', backend: 'engine', slots: 16},
    {name: 'encoder-1', pool: 'encoders', backend: 'pool', slots: 8},
    {name: 'encoder-2', pool: 'encoders', backend: 'pool', slots: 8},
    {name: 'desk-1', pool: 'desks', backend: 'service', slots: 8},
    {name: 'desk-2', pool: 'desks', backend: 'service', slots: 8},
  ],
  pipelines: [
    {
      kind: 'pipeline',
      schemaVersion: 1,
      name: 'loan-summary',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      stages: [encode, generate],
    },
    {
      kind: 'pipeline',
      schemaVersion: 1,
      name: 'toy-checkout',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      stages: [encode, checkout],
    },
  ],
};
