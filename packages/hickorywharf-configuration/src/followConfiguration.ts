import {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import {sleep} from 'hickorywharf-utils/sleep';
import {catchUp} from './catchUp.ts';
import {createBackoff} from './createBackoff.ts';
import type {FollowOptions} from './followOptions.ts';
import {getFollowInput} from './getFollowInput.ts';
import {probeStore} from './probeStore.ts';
import {watchLog} from './watchLog.ts';

/** Time in which peers may bring the first configuration. */
const PEERS_MILLISECONDS = 600;
const PEERS_POLL_MILLISECONDS = 50;

/** Takes the first configuration from peers, or else from the store. */
async function bootstrap(options: FollowOptions): Promise<void> {
  const {store, replica: replica, signal} = options;
  const polls = PEERS_MILLISECONDS / PEERS_POLL_MILLISECONDS;
  for (let poll = 0; poll < polls && replica.sequence === 0; poll += 1) {
    await sleep(PEERS_POLL_MILLISECONDS);
  }
  const pause = createBackoff(options);
  while (replica.sequence === 0 && !signal.aborted) {
    if ((await catchUp(store, replica)).isOk()) return;
    await pause.wait();
  }
}

/**
 * Follows the configuration log in the store as the policy says: by a watch,
 * by probes, or both. Failures are met with jittered, growing pauses.
 *
 * @example
 *     void followConfiguration(options);
 */
export async function followConfiguration(
  options: FollowOptions,
): Promise<void> {
  const policy = followPolicies[options.policy];
  const input = {...getFollowInput(options), isWatcher: true};
  const isFollower =
    policy.isWatching(input) || policy.getProbeMilliseconds(input) !== null;
  // An endpoint process may leave the store to the entries that it talks to.
  if (!isFollower) return;
  await bootstrap(options);
  await Promise.all([watchLog(options), probeStore(options)]);
}
