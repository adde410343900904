import {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import type {Result} from 'neverthrow';
import {catchUp} from './catchUp.ts';
import {configurationKeys} from './configurationKeys.ts';
import {createBackoff} from './createBackoff.ts';
import type {FollowOptions} from './followOptions.ts';
import {getFollowInput} from './getFollowInput.ts';

/** Time after which the store ends a watch without entries. */
const WATCH_TIMEOUT_MILLISECONDS = 20_000;
/** Interval at which the policy is read again while it wants no watch. */
const POLICY_POLL_MILLISECONDS = 200;
/** Mean delay after a response, so that few calls read a burst of changes. */
const CALL_DELAY_MILLISECONDS = 100;

/** Waits for entries after a revision; returns the one to continue after. */
async function watchOnce(
  {store, replica}: FollowOptions,
  revision: number,
): Promise<Result<number, StoreError>> {
  const watched = await store.watch(
    configurationKeys.logPrefix,
    revision,
    WATCH_TIMEOUT_MILLISECONDS,
  );
  return watched.map((response) => {
    const entries = response.items.map(
      ({value}) => value as ConfigurationEntry,
    );
    replica.receiveEntries(entries);
    return response.revision;
  });
}

/**
 * Watches the log, while the policy says so, until the signal aborts. After a
 * gap in the sequence, or a decrease of the store's revision, the log is read
 * again.
 *
 * @example
 *     await watchLog(options);
 */
export async function watchLog(options: FollowOptions): Promise<void> {
  const {store, replica, signal} = options;
  const policy = followPolicies[options.policy];
  const backoff = createBackoff(options);
  let revision: number | null = null;
  while (!signal.aborted) {
    if (!policy.isWatching(getFollowInput(options))) {
      revision = null;
      await sleep(POLICY_POLL_MILLISECONDS);
      continue;
    }
    const next: Result<number, StoreError> =
      revision === null
        ? await catchUp(store, replica)
        : await watchOnce(options, revision);
    if (next.isErr()) {
      await backoff.wait();
      continue;
    }
    const isOutOfSync: boolean = replica.hasGap || next.value < (revision ?? 0);
    revision = isOutOfSync ? null : next.value;
    // Avoids a tight loop if each read is followed by a gap.
    if (isOutOfSync) await backoff.wait();
    else backoff.reset();
    await sleep(CALL_DELAY_MILLISECONDS * (0.5 + options.random()));
  }
}
