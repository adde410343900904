import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {Instance} from 'hickorywharf-types/instance';
import {sleep} from 'hickorywharf-utils/sleep';

interface PollInstancesOptions {
  readonly url: string;
  readonly pollMilliseconds: number;
  readonly onListed: (instances: readonly Instance[]) => void;
  /** Numbers in [0, 1), to spread the reads of many processes. */
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Approximate size of one instance in the platform's response. */
const INSTANCE_BYTES = 160;
/** Half of the bandwidth that a process may use for control traffic. */
const LIST_BYTES_PER_SECOND = 4000;
const MILLISECONDS_PER_SECOND = 1000;

function getPause(pollMilliseconds: number, instances: number): number {
  const seconds = (instances * INSTANCE_BYTES) / LIST_BYTES_PER_SECOND;
  return Math.max(pollMilliseconds, seconds * MILLISECONDS_PER_SECOND);
}

/**
 * Polls the platform's list of instances until the signal is aborted. While the
 * list cannot be read, the last one stays in effect. A long list is read less
 * often, since each read transfers the whole list; departures are detected
 * sooner by heartbeats and lost connections.
 *
 * @example
 *     void pollInstances({url, pollMilliseconds, onListed, random, signal});
 */
export async function pollInstances(
  options: PollInstancesOptions,
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
