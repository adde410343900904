import {request} from 'undici';
import type {startDeployment} from '../../deployment/startDeployment.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/**
 * Injects faults into the stand-in backend of an endpoint, or clears them.
 *
 * @param faults factor of the service time and share of failing calls
 * @example
 *     await setFaults(deployment, 'engine-1', {slowness: 10});
 */
export async function setFaults(
  deployment: Deployment,
  endpoint: string,
  faults: {slowness?: number; failureShare?: number},
): Promise<void> {
  const url = deployment.backendUrls.get(endpoint)!;
  const {body} = await request(`${url}/v1/faults`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  await body.dump();
}
