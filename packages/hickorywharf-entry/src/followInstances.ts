import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {Instance} from 'hickorywharf-types/instance';
import {sleep} from 'hickorywharf-utils/sleep';

interface FollowInstancesOptions {
  readonly url: string;
  readonly pollMilliseconds: number;
  readonly onListed: (instances: readonly Instance[]) => void;
  /** Numbers in [0, 1), to spread the reads of many processes. */
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/**
 * Reads the platform's list of instances again and again. While the list
 * cannot be read, what was last seen stays.
 *
 * @example
 *     void followInstances({url, pollMilliseconds, onListed, random, signal});
 */
export async function followInstances(
  options: FollowInstancesOptions,
): Promise<void> {
  const {url, pollMilliseconds, onListed, random, signal} = options;
  while (!signal.aborted) {
    const listed = await fetchInstances(url);
    if (listed.isOk() && !signal.aborted) onListed(listed.value);
    await sleep(pollMilliseconds * (0.75 + random() / 2));
  }
}
