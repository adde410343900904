import type {DeploymentPlan} from './deploymentPlan.ts';

type Sections = Record<string, Record<string, string | number>>;

interface ProcessSectionsOptions {
  readonly plan: DeploymentPlan;
  readonly name: string;
  readonly address: string;
  readonly port: number;
  readonly backendPort: number;
  readonly failureDomain: string;
  readonly storeUrl: string;
  readonly instancesUrl: string;
  readonly historyFile: string;
}

const HOME_INTERVAL_SECONDS = 900;
const BALANCER_MILLISECONDS = 200;
const INSTANCES_POLL_MILLISECONDS = 300;

/**
 * Creates the default settings of a process of a deployment.
 *
 * @returns settings by section and key
 * @example
 *     createProcessSections(options)['process'];
 */
export function createProcessSections(
  options: ProcessSectionsOptions,
): Sections {
  const {plan, name, address, port, failureDomain} = options;
  const common: Sections = {
    process: {name, failureDomain},
    platform: {
      storeUrl: options.storeUrl,
      instancesUrl: options.instancesUrl,
      instancesPollMilliseconds: INSTANCES_POLL_MILLISECONDS,
    },
    history: {file: options.historyFile},
  };
  const endpoint = plan.endpoints.find((candidate) => candidate.name === name);
  if (endpoint === undefined) {
    return {
      ...common,
      http: {address, port},
      stop: {balancerMilliseconds: BALANCER_MILLISECONDS},
    };
  }
  const {backend, pool, slots} = endpoint;
  const url = `http://${address}:${options.backendPort}`;
  const homes: Sections =
    backend === 'service'
      ? {homes: {pool, intervalSeconds: HOME_INTERVAL_SECONDS}}
      : {};
  return {
    ...common,
    ...homes,
    listen: {address, port},
    backend: {kind: backend, url, slots},
  };
}
