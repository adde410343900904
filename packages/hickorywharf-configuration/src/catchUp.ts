import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import {err, ok, type Result} from 'neverthrow';
import type {ConfigurationReplica} from './configurationReplica.ts';
import {readSnapshot} from './readSnapshot.ts';
import {readTail} from './readTail.ts';

/**
 * Brings a process forward to what the store holds: by the part of the log
 * that it has not seen, or by the snapshot where that part was overwritten.
 *
 * @returns the revision after which a watch misses no entry
 * @example
 *     await catchUp(store, keeper);
 */
export async function catchUp(
  store: StoreClient,
  keeper: ConfigurationReplica,
): Promise<Result<number, StoreError>> {
  const log = {
    get sequence() {
      return keeper.sequence;
    },
    applyEntries(entries: Parameters<typeof keeper.receiveEntries>[0]) {
      const before = keeper.sequence;
      keeper.receiveEntries(entries);
      return keeper.sequence > before;
    },
  };
  // What waits is read anew, or it went another way than the store.
  keeper.dropPendingEntries();
  if (keeper.sequence > 0) {
    const tail = await readTail(store, log);
    if (tail.isErr()) return err(tail.error);
    if (!keeper.hasGap) return ok(tail.value.watchRevision);
  }
  const read = await readSnapshot(store);
  if (read.isErr()) return err(read.error);
  if (read.value.snapshot !== null) keeper.receiveSnapshot(read.value.snapshot);
  const tail = await readTail(store, log);
  return tail.map(({watchRevision}) => watchRevision);
}
