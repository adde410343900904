import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {Instance} from 'hickorywharf-types/instance';

const TIMEOUT_MILLISECONDS = 2000;

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
  const reply = (await body.json()) as {instances?: unknown};
  if (statusCode !== 200 || !Array.isArray(reply.instances)) {
    throw new Error(`the list answered ${statusCode}`);
  }
  return reply.instances as Instance[];
}

/**
 * Reads the platform's lagging list of instances.
 *
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
