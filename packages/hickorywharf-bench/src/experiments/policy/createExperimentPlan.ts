import type {DeploymentPlan} from '../../deployment/deploymentPlan.ts';
import {standInCosts} from './standInCosts.ts';

type Pipeline = DeploymentPlan['pipelines'][number];
type Stage = Pipeline['stages'][number];
type StageKind = Stage['kind'];

const DEADLINE_MILLISECONDS = 2000;
const ENTRIES = 3;
const SERVICE_SLOTS = 8;
const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3'];
const ACCOUNT_REQUESTS_PER_SECOND = 1000;

/** Number of endpoints by pool, without the plain services. */
const POOL_SIZES = {
  engines: 8,
  encoders: 3,
  retrievers: 4,
  rerankers: 4,
} as const;

const POOLS: Partial<Record<StageKind, keyof typeof POOL_SIZES>> = {
  encode: 'encoders',
  retrieve: 'retrievers',
  rerank: 'rerankers',
  generate: 'engines',
};

const SERVICES = 3;

const PIPELINES: Readonly<
  Record<
    'lusacine' | 'authority',
    Readonly<Record<string, readonly (StageKind | {action: string})[]>>
  >
> = {
  lusacine: {
    'damage-report': ['encode', 'retrieve', 'rerank', 'generate'],
    'reel-note': ['encode', 'retrieve', 'generate'],
    'caption-batch': ['encode', 'generate'],
    'print-booking': ['encode', 'retrieve', {action: 'book-print'}],
  },
  authority: {
    'catalogue-question': ['encode', 'retrieve', 'rerank', 'generate'],
    'loan-summary': ['encode', 'generate'],
    'condition-report': ['encode', 'retrieve', 'generate'],
    'toy-checkout': ['encode', {action: 'checkout'}],
  },
};

function toStage(step: StageKind | {action: string}): Stage {
  if (typeof step === 'string') {
    return {name: step, kind: step, pool: POOLS[step]!, idempotent: true};
  }
  const {action} = step;
  return {
    name: action,
    kind: 'call',
    pool: 'services',
    idempotent: false,
    action,
  };
}

function createPipeline(
  name: string,
  steps: readonly (StageKind | {action: string})[],
): Pipeline {
  return {
    kind: 'pipeline',
    schemaVersion: 1,
    name,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    stages: steps.map(toStage),
  };
}

function createEndpoints(): DeploymentPlan['endpoints'] {
  const modelEndpoints = Object.entries(POOL_SIZES).flatMap(([pool, size]) =>
    Array.from({length: size}, (_, index) => ({
      name: `${pool.slice(0, -1)}-${index + 1}`,
      pool,
      backend: pool === 'engines' ? ('engine' as const) : ('pool' as const),
      slots: standInCosts[pool as keyof typeof POOL_SIZES].capacity,
    })),
  );
  const services = Array.from({length: SERVICES}, (_, index) => ({
    name: `service-${index + 1}`,
    pool: 'services',
    backend: 'service' as const,
    slots: SERVICE_SLOTS,
  }));
  return [...modelEndpoints, ...services];
}

/**
 * Creates a deployment of about the size of those in use: 3 entries and 22
 * endpoints.
 *
 * @param accountLimits requests per second by client account; 0 for the default
 *   of 1000
 * @example
 *     createExperimentPlan('authority').endpoints.length; // 22
 */
export function createExperimentPlan(
  name: 'lusacine' | 'authority',
  accountLimits: Readonly<Record<string, number>> = {},
): DeploymentPlan {
  return {
    name,
    entries: Array.from({length: ENTRIES}, (_, index) => `entry-${index + 1}`),
    failureDomains: FAILURE_DOMAINS,
    accountKey: `${name}-key`,
    accounts: Object.entries(accountLimits).map(
      ([account, requestsPerSecond]) => ({
        name: account,
        key: `${name}-${account}-key`,
        requestsPerSecond: requestsPerSecond || ACCOUNT_REQUESTS_PER_SECOND,
        weight: 1,
      }),
    ),
    endpoints: createEndpoints(),
    pipelines: Object.entries(PIPELINES[name]).map(([pipeline, steps]) =>
      createPipeline(pipeline, steps),
    ),
  };
}
