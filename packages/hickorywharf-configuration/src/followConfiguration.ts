import {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import {sleep} from 'hickorywharf-utils/sleep';
import {catchUp} from './catchUp.ts';
import {createBackoff} from './createBackoff.ts';
import type {FollowOptions} from './followOptions.ts';
import {getFollowInput} from './getFollowInput.ts';
import {probeStore} from './probeStore.ts';
import {watchLog} from './watchLog.ts';

/** Time for peers to send the first configuration. */
const PEERS_TIMEOUT_MILLISECONDS = 600;
const PEERS_POLL_MILLISECONDS = 50;

/** Waits for peers to send a configuration, else reads it from the store. */
async function bootstrap(options: FollowOptions): Promise<void> {
  const {store, replica, signal} = options;
  const polls = PEERS_TIMEOUT_MILLISECONDS / PEERS_POLL_MILLISECONDS;
  for (let poll = 0; poll < polls && replica.sequence === 0; poll += 1) {
    await sleep(PEERS_POLL_MILLISECONDS);
  }
  const backoff = createBackoff(options);
  while (replica.sequence === 0 && !signal.aborted) {
    if ((await catchUp(store, replica)).isOk()) return;
    await backoff.wait();
  }
}

/**
 * Follows the configuration log in the store by a watch, by probes or both, as
 * the policy says, until the signal aborts. Returns at once for a process that
 * is to use neither. Failed calls are retried with exponential backoff and
 * jitter.
 *
 * @example
 *     void followConfiguration(options); // until `options.signal` aborts
 */
export async function followConfiguration(
  options: FollowOptions,
): Promise<void> {
  const policy = followPolicies[options.policy];
  // A process that is no watcher now may become one later.
  const input = {...getFollowInput(options), isWatcher: true};
  const isFollower =
    policy.isWatching(input) || policy.getProbeMilliseconds(input) !== null;
  // Endpoint processes may get the configuration from entries alone.
  if (!isFollower) return;
  await bootstrap(options);
  await Promise.all([watchLog(options), probeStore(options)]);
}
