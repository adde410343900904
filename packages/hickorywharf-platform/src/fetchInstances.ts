import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {Instance} from 'hickorywharf-types/instance';

const TIMEOUT_MILLISECONDS = 2000;

/** Why the list of instances could not be fetched. */
interface InstancesError {
  readonly tag: 'unavailable';
  readonly step: 'route';
  readonly peer: string;
  readonly message: string;
}

async function loadInstances(url: string): Promise<readonly Instance[]> {
  const {statusCode, body} = await request(url, {
    headersTimeout: TIMEOUT_MILLISECONDS,
    bodyTimeout: TIMEOUT_MILLISECONDS,
  });
  const response = (await body.json()) as {instances?: unknown};
  if (statusCode !== 200 || !Array.isArray(response.instances)) {
    throw new Error(`unexpected response with status ${statusCode}`);
  }
  return response.instances as Instance[];
}

/**
 * Fetches the platform's list of instances, which may lag behind the instances
 * that are running.
 *
 * @param url full address of the list
 * @example
 *     await fetchInstances('http://127.0.0.1:7001/v1/instances');
 */
export function fetchInstances(
  url: string,
): ResultAsync<readonly Instance[], InstancesError> {
  return ResultAsync.fromPromise(loadInstances(url), (error) => ({
    tag: 'unavailable' as const,
    step: 'route' as const,
    peer: url,
    message: (error as Error).message,
  }));
}
