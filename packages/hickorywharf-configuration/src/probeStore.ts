import {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {catchUp} from './catchUp.ts';
import {configurationKeys} from './configurationKeys.ts';
import {createBackoff} from './createBackoff.ts';
import type {FollowOptions} from './followOptions.ts';
import {getFollowInput} from './getFollowInput.ts';
import {repairStore} from './repairStore.ts';

/** Interval at which the policy is read again while it wants no probes. */
const POLICY_POLL_MILLISECONDS = 200;
/** One probe in this many checks for a store restored from an older state. */
const PROBES_PER_CHECK = 4;

/** Reads entries that are new; returns whether the store responded. */
async function probeOnce(options: FollowOptions): Promise<boolean> {
  const {store, replica} = options;
  const key = configurationKeys.getLogKey(replica.sequence + 1);
  const slot = await store.get(key);
  if (slot.isErr()) return false;
  const found = slot.value?.value as ConfigurationEntry | undefined;
  if (found === undefined || found.sequence <= replica.sequence) return true;
  return (await catchUp(store, replica)).isOk();
}

/** Repairs a restored store; returns whether the store responded. */
async function checkStore(options: FollowOptions): Promise<boolean> {
  const {store, replica, createOperation} = options;
  if (replica.sequence === 0) return true;
  const written = await repairStore(store, replica, createOperation());
  // A lost compare-and-swap means that another process repaired the store.
  return written.isOk() || written.error.tag === 'conflict';
}

/**
 * Probes the store, as often as the policy says, for entries that neither a
 * watch nor a peer delivered, until the signal aborts. Some of the probes check
 * instead whether the store was restored from an older state.
 *
 * @example
 *     await probeStore(options);
 */
export async function probeStore(options: FollowOptions): Promise<void> {
  const {random, signal} = options;
  const policy = followPolicies[options.policy];
  const backoff = createBackoff(options);
  for (let count = 1; !signal.aborted; count += 1) {
    const period = policy.getProbeMilliseconds(getFollowInput(options));
    await sleep((period ?? POLICY_POLL_MILLISECONDS) * (0.5 + random()));
    if (period === null || signal.aborted) continue;
    const isCheck = count % PROBES_PER_CHECK === 0;
    const hasResponse = isCheck
      ? await checkStore(options)
      : await probeOnce(options);
    if (hasResponse) backoff.reset();
    else await backoff.wait();
  }
}
