import {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {catchUp} from './catchUp.ts';
import {configurationKeys} from './configurationKeys.ts';
import {createBackoff} from './createBackoff.ts';
import type {FollowOptions} from './followOptions.ts';
import {getFollowInput} from './getFollowInput.ts';
import {repairStore} from './repairStore.ts';

const IDLE_MILLISECONDS = 200;
/** One probe in so many also looks for a store that went back. */
const PROBES_PER_CHECK = 4;

/** Looks for the next entry; true where the store answered. */
async function probeOnce(options: FollowOptions): Promise<boolean> {
  const {store, replica: replica} = options;
  const key = configurationKeys.getLogKey(replica.sequence + 1);
  const slot = await store.get(key);
  if (slot.isErr()) return false;
  const found = slot.value?.value as ConfigurationEntry | undefined;
  if (found === undefined || found.sequence <= replica.sequence) return true;
  return (await catchUp(store, replica)).isOk();
}

/** Looks for a store that went back; true where the store answered. */
async function checkStore(options: FollowOptions): Promise<boolean> {
  const {store, replica: replica, createOperation} = options;
  if (replica.sequence === 0) return true;
  const written = await repairStore(store, replica, createOperation());
  // Losing a compare-and-swap means that another has written it back.
  return written.isOk() || written.error.tag === 'conflict';
}

/**
 * Probes the store for entries that neither a watch nor a peer has brought,
 * as often as the policy says.
 *
 * @example
 *     await probeStore(options);
 */
export async function probeStore(options: FollowOptions): Promise<void> {
  const {random, signal} = options;
  const policy = followPolicies[options.policy];
  const pause = createBackoff(options);
  for (let count = 1; !signal.aborted; count += 1) {
    const period = policy.getProbeMilliseconds(getFollowInput(options));
    await sleep((period ?? IDLE_MILLISECONDS) * (0.5 + random()));
    if (period === null || signal.aborted) continue;
    const isCheck = count % PROBES_PER_CHECK === 0;
    const isAnswered = isCheck
      ? await checkStore(options)
      : await probeOnce(options);
    if (isAnswered) pause.reset();
    else await pause.wait();
  }
}
