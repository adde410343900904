import {deploymentPlans} from '../../deployment/deploymentPlans.ts';

const {authority} = deploymentPlans;

/** The Authority with two endpoints per pool and one account per half. */
export const splitPlan = {
  deployment: {
    ...authority,
    name: 'authority',
    endpoints: [
      ...authority.endpoints,
      {
        name: 'retriever-2',
        pool: 'retrievers',
        backend: 'pool' as const,
        slots: 8,
      },
      {
        name: 'reranker-2',
        pool: 'rerankers',
        backend: 'pool' as const,
        slots: 8,
      },
    ],
  },
  /** The halves, each with its account and its endpoints. */
  halves: {
    town: {
      account: 'town-libraries',
      accountKey: 'split-town',
      endpoints: [
        'engine-1',
        'encoder-1',
        'retriever-1',
        'reranker-1',
        'desk-1',
      ],
    },
    county: {
      account: 'county-libraries',
      accountKey: 'split-county',
      endpoints: [
        'engine-2',
        'encoder-2',
        'retriever-2',
        'reranker-2',
        'desk-2',
      ],
    },
  },
} as const;
