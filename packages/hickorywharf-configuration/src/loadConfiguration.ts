import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import {err, ok, type Result} from 'neverthrow';
import {readSnapshot} from './readSnapshot.ts';
import {readTail} from './readTail.ts';

interface LoadedConfiguration {
  readonly log: ReturnType<typeof createConfigurationLog>;
  /** Revision of the slot that the next entry is to overwrite; 0 if absent. */
  readonly nextRevision: number;
  /** Revision after which a watch misses no entry. */
  readonly watchRevision: number;
  /** What the newest snapshot holds; 0 where there is none. */
  readonly snapshotSequence: number;
}

/**
 * Reads the whole configuration from the store: the newest snapshot, then only
 * the part of the log that comes after it.
 *
 * @example
 *     await loadConfiguration(store);
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
