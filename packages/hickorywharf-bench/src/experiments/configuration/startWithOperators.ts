import type {DeploymentPlan} from '../../deployment/deploymentPlan.ts';
import {findFreePorts} from '../../deployment/findFreePorts.ts';
import {startDeployment} from '../../deployment/startDeployment.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

interface StartOptions {
  readonly plan: DeploymentPlan;
  readonly program: string;
  readonly directory: string;
  readonly follow?: string;
  readonly relay?: string;
}

interface StartedDeployment {
  readonly deployment: Deployment;
  /** URL of the operators interface by process. */
  readonly operatorsUrls: ReadonlyMap<string, string>;
}

const ADDRESS = '127.0.0.1';
const INSTANCES_POLL_MILLISECONDS = 1000;

/**
 * Starts a deployment whose processes all serve the operators interface,
 * applies its initial configuration and waits until it is ready. The caller
 * stops it.
 *
 * @throws Error if the configuration is not accepted
 * @example
 *     const {deployment} = await startWithOperators(options);
 */
export async function startWithOperators(
  options: StartOptions,
): Promise<StartedDeployment> {
  const {plan, follow = 'watchers', relay = 'announce'} = options;
  const names = [...plan.entries, ...plan.endpoints.map(({name}) => name)];
  const freePorts = await findFreePorts(ADDRESS, names.length);
  const ports = new Map(names.map((name, index) => [name, freePorts[index]!]));
  const deployment = await startDeployment({
    plan,
    program: options.program,
    directory: options.directory,
    getSettings: (name) => ({
      operators: {address: ADDRESS, port: ports.get(name)!},
      configuration: {follow, relay},
      platform: {instancesPollMilliseconds: INSTANCES_POLL_MILLISECONDS},
    }),
  });
  const code = await deployment.apply(new Set());
  if (code !== 0) throw new Error(`apply exited with code ${code}`);
  await deployment.waitUntilReady();
  const operatorsUrls = new Map(
    Array.from(ports, ([name, port]) => [name, `http://${ADDRESS}:${port}`]),
  );
  return {deployment, operatorsUrls};
}
