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

const WATCH_MILLISECONDS = 20_000;
const IDLE_MILLISECONDS = 200;
/** Mean pause after an answer, so that a burst of changes is a few calls. */
const SPACING_MILLISECONDS = 100;

/** Waits for entries after a revision; gives the revision to go on from. */
async function watchOnce(
  {store, replica: replica}: FollowOptions,
  revision: number,
): Promise<Result<number, StoreError>> {
  const watched = await store.watch(
    configurationKeys.logPrefix,
    revision,
    WATCH_MILLISECONDS,
  );
  return watched.map((answer) => {
    const entries = answer.items.map(({value}) => value as ConfigurationEntry);
    replica.receiveEntries(entries);
    return answer.revision;
  });
}

/**
 * Holds a watch on the log for as long as the policy says so. A gap, or a
 * store that counts from an older revision, sends it back to reading.
 *
 * @example
 *     await watchLog(options);
 */
export async function watchLog(options: FollowOptions): Promise<void> {
  const {store, replica: replica, signal} = options;
  const policy = followPolicies[options.policy];
  const pause = createBackoff(options);
  let revision: number | null = null;
  while (!signal.aborted) {
    if (!policy.isWatching(getFollowInput(options))) {
      revision = null;
      await sleep(IDLE_MILLISECONDS);
      continue;
    }
    const next: Result<number, StoreError> =
      revision === null
        ? await catchUp(store, replica)
        : await watchOnce(options, revision);
    if (next.isErr()) {
      await pause.wait();
      continue;
    }
    const isLost: boolean = replica.hasGap || next.value < (revision ?? 0);
    revision = isLost ? null : next.value;
    // A store that brings a gap each time is not read in a tight loop.
    if (isLost) await pause.wait();
    else pause.reset();
    await sleep(SPACING_MILLISECONDS * (0.5 + options.random()));
  }
}
