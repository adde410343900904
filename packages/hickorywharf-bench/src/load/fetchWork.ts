import {request} from 'undici';
import type {WorkLog} from 'hickorywharf-standins/workLog';

/**
 * Fetches the work logs of a deployment's backends. Backends without a work
 * log, whose status is not 200, are skipped.
 *
 * @param urls URLs of the backends
 * @throws if a backend cannot be reached
 * @example
 *     const items = await fetchWork(deployment.backendUrls.values());
 */
export async function fetchWork(
  urls: Iterable<string>,
): Promise<WorkLog['items']> {
  const items: WorkLog['items'] = [];
  for (const url of urls) {
    const {statusCode, body} = await request(`${url}/v1/work`);
    if (statusCode !== 200) {
      await body.dump();
      continue;
    }
    const log = (await body.json()) as WorkLog;
    items.push(...log.items);
  }
  return items;
}
