import type {DeploymentPlan} from './deploymentPlan.ts';

type Pipeline = DeploymentPlan['pipelines'][number];
type Stage = Pipeline['stages'][number];

const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3'];
const DEADLINE_MILLISECONDS = 5000;

const encode: Stage = {
  name: 'encode',
  kind: 'encode',
  pool: 'encoders',
  idempotent: true,
};
const retrieve: Stage = {
  name: 'retrieve',
  kind: 'retrieve',
  pool: 'retrievers',
  idempotent: true,
};
const rerank: Stage = {
  name: 'rerank',
  kind: 'rerank',
  pool: 'rerankers',
  idempotent: true,
};
const generate: Stage = {
  name: 'generate',
  kind: 'generate',
  pool: 'engines',
  idempotent: true,
};

function createPipeline(name: string, stages: readonly Stage[]): Pipeline {
  return {
    kind: 'pipeline',
    schemaVersion: 1,
    name,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    stages,
  };
}

function createAction(pool: string, action: string): Stage {
  return {name: action, kind: 'call', pool, idempotent: false, action};
}

const MODEL_ENDPOINTS: DeploymentPlan['endpoints'] = [
  {name: 'engine-1', pool: 'engines', backend: 'engine', slots: 16},
  {name: 'engine-2', pool: 'engines', backend: 'engine', slots: 16},
  {name: 'encoder-1', pool: 'encoders', backend: 'pool', slots: 8},
  {name: 'encoder-2', pool: 'encoders', backend: 'pool', slots: 8},
  {name: 'retriever-1', pool: 'retrievers', backend: 'pool', slots: 8},
  {name: 'reranker-1', pool: 'rerankers', backend: 'pool', slots: 8},
];

/** Small versions of the deployments of both users, by name. */
export const deploymentPlans: Readonly<
  Record<'lusacine' | 'authority', DeploymentPlan>
> = {
  lusacine: {
    name: 'lusacine',
    entries: ['entry-1', 'entry-2'],
    failureDomains: FAILURE_DOMAINS,
    accountKey: 'demo-cinematheque',
    endpoints: [
      ...MODEL_ENDPOINTS,
      {name: 'booking-1', pool: 'bookings', backend: 'service', slots: 8},
      {name: 'booking-2', pool: 'bookings', backend: 'service', slots: 8},
    ],
    pipelines: [
      createPipeline('damage-report', [encode, retrieve, rerank, generate]),
      createPipeline('caption-batch', [encode, generate]),
      createPipeline('print-booking', [
        encode,
        retrieve,
        createAction('bookings', 'book-print'),
      ]),
    ],
  },
  authority: {
    name: 'authority',
    entries: ['entry-1', 'entry-2'],
    failureDomains: FAILURE_DOMAINS,
    accountKey: 'demo-district-library',
    endpoints: [
      ...MODEL_ENDPOINTS,
      {name: 'desk-1', pool: 'desks', backend: 'service', slots: 8},
      {name: 'desk-2', pool: 'desks', backend: 'service', slots: 8},
    ],
    pipelines: [
      createPipeline('catalogue-question', [
        encode,
        retrieve,
        rerank,
        generate,
      ]),
      createPipeline('loan-summary', [encode, generate]),
      createPipeline('toy-checkout', [
        encode,
        createAction('desks', 'checkout'),
      ]),
    ],
  },
};
