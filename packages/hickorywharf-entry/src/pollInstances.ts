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

/** About what one instance takes in the platform's answer. */
const INSTANCE_BYTES = 160;
/** Half of what a process may spend on control. */
const LIST_BYTES_PER_SECOND = 4000;
const MILLISECONDS_PER_SECOND = 1000;

function getPause(pollMilliseconds: number, instances: number): number {
  const seconds = (instances * INSTANCE_BYTES) / LIST_BYTES_PER_SECOND;
  return Math.max(pollMilliseconds, seconds * MILLISECONDS_PER_SECOND);
}

/**
 * Reads the platform's list of instances again and again. While the list
 * cannot be read, what was last seen stays. A long list is read less often,
 * since each read carries the whole of it; departures are learnt sooner from
 * heartbeats and lost connections.
 *
 * @example
 *     void pollInstances({url, pollMilliseconds, onListed, random, signal});
 */
export async function pollInstances(
  options: FollowInstancesOptions,
): Promise<void> {
  const {url, pollMilliseconds, onListed, random, signal} = options;
  let pause = pollMilliseconds;
  while (!signal.aborted) {
    const listed = await fetchInstances(url);
    if (listed.isOk() && !signal.aborted) {
      onListed(listed.value);
      pause = getPause(pollMilliseconds, listed.value.length);
    }
    await sleep(pause * (0.75 + random() / 2));
  }
}
