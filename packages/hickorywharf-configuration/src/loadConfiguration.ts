import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import {err, ok, type Result} from 'neverthrow';
import {readSnapshot} from './readSnapshot.ts';
import {readTail} from './readTail.ts';

interface LoadedConfiguration {
  readonly log: ReturnType<typeof createConfigurationLog>;
  /** Revision of the slot that the next entry overwrites; 0 if empty. */
  readonly nextRevision: number;
  /** Revision after which a watch misses no entry. */
  readonly watchRevision: number;
  /** Sequence of the newest snapshot; 0 if there is none. */
  readonly snapshotSequence: number;
}

/**
 * Loads the configuration from the store: the newest snapshot, then only the
 * log entries after it.
 *
 * @example
 *     const loaded = await loadConfiguration(store);
 *     loaded.map(({log}) => log.sequence); // ok(17)
 */
export async function loadConfiguration(
  store: StoreClient,
): Promise<Result<LoadedConfiguration, StoreError>> {
  const read = await readSnapshot(store);
  if (read.isErr()) return err(read.error);
  const {snapshot} = read.value;
  const log = createConfigurationLog();
  if (snapshot !== null) log.applySnapshot(snapshot);
  const tail = await readTail(store, log);
  if (tail.isErr()) return err(tail.error);
  return ok({
    log,
    ...tail.value,
    snapshotSequence: snapshot?.sequence ?? 0,
  });
}
