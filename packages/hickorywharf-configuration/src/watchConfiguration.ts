import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreItem} from 'hickorywharf-platform/storeItem';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {configurationKeys} from './configurationKeys.ts';

const WATCH_MILLISECONDS = 20_000;
const PAUSE_MINIMUM_MILLISECONDS = 200;
const PAUSE_MAXIMUM_MILLISECONDS = 5000;

interface WatchConfigurationOptions {
  readonly store: StoreClient;
  readonly takeEntries: (entries: readonly ConfigurationEntry[]) => void;
  /** Whether this process is one of the watchers just now. */
  readonly isWatcher: () => boolean;
  /** Numbers in [0, 1), to spread the return after an outage. */
  readonly random: () => number;
  readonly signal: AbortSignal;
}

function toEntries(items: readonly StoreItem[]): ConfigurationEntry[] {
  return items.map(({value}) => value as ConfigurationEntry);
}

/**
 * Follows the configuration log in the store for as long as this process is a
 * watcher. Failures are met with jittered, growing pauses.
 *
 * @example
 *     void watchConfiguration({store, takeEntries, isWatcher, random, signal});
 */
export async function watchConfiguration(
  options: WatchConfigurationOptions,
): Promise<void> {
  const {store, takeEntries, isWatcher, random, signal} = options;
  let revision = 0;
  let pause = PAUSE_MINIMUM_MILLISECONDS;
  while (!signal.aborted) {
    if (!isWatcher()) {
      await sleep(PAUSE_MINIMUM_MILLISECONDS);
      continue;
    }
    const watched = await store.watch(
      configurationKeys.logPrefix,
      revision,
      WATCH_MILLISECONDS,
    );
    if (watched.isOk()) {
      revision = Math.max(revision, watched.value.revision);
      takeEntries(toEntries(watched.value.items));
      pause = PAUSE_MINIMUM_MILLISECONDS;
      continue;
    }
    await sleep(pause * (0.5 + random()));
    pause = Math.min(pause * 2, PAUSE_MAXIMUM_MILLISECONDS);
  }
}
