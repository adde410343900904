import {digest} from 'hickorywharf-utils/digest';
import type {DeploymentPlan} from './deploymentPlan.ts';

type Document = Readonly<Record<string, unknown>>;

const REQUESTS_PER_SECOND = 1000;

/**
 * Creates the declarations of a deployment, as `apply` reads them. They mix
 * records of schema versions 1 and 2.
 *
 * @param draining names of the endpoints to drain
 * @example
 *     createDocuments(deploymentPlans.lusacine, new Set(['engine-2']));
 */
export function createDocuments(
  plan: DeploymentPlan,
  draining: ReadonlySet<string> = new Set(),
): Document[] {
  const account = {
    kind: 'account',
    schemaVersion: 2,
    name: 'demo-account',
    keyHash: digest(plan.accountKey),
    requestsPerSecond: REQUESTS_PER_SECOND,
    weight: 1,
    half: null,
  };
  const accounts = (plan.accounts ?? []).map(({key, ...fields}) => ({
    kind: 'account',
    schemaVersion: 2,
    keyHash: digest(key),
    half: null,
    ...fields,
  }));
  const endpoints = plan.endpoints.map(({name, pool}) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name,
    pool,
    draining: draining.has(name),
  }));
  return [
    account,
    ...accounts,
    ...plan.pipelines.map((pipeline) => ({...pipeline})),
    ...endpoints,
  ];
}
