import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import {err, ok, type Result} from 'neverthrow';
import type {ConfigurationReplica} from './configurationReplica.ts';
import {readSnapshot} from './readSnapshot.ts';
import {readTail} from './readTail.ts';

/**
 * Brings a replica up to date with the store: with the log entries that it
 * lacks or, if it is empty or the entries were overwritten, with the snapshot.
 *
 * @returns the store revision after which a watch misses no entry
 * @example
 *     await catchUp(store, replica); // ok(17)
 */
export async function catchUp(
  store: StoreClient,
  target: ConfigurationReplica,
): Promise<Result<number, StoreError>> {
  const log = {
    get sequence() {
      return target.sequence;
    },
    applyEntries(entries: Parameters<typeof target.receiveEntries>[0]) {
      const before = target.sequence;
      target.receiveEntries(entries);
      return target.sequence > before;
    },
  };
  // Pending entries are read again: they may belong to a history that the
  // store lost when it was restored from an older state.
  target.dropPendingEntries();
  if (target.sequence > 0) {
    const tail = await readTail(store, log);
    if (tail.isErr()) return err(tail.error);
    if (!target.hasGap) return ok(tail.value.watchRevision);
  }
  const read = await readSnapshot(store);
  if (read.isErr()) return err(read.error);
  if (read.value.snapshot !== null) target.receiveSnapshot(read.value.snapshot);
  const tail = await readTail(store, log);
  return tail.map(({watchRevision}) => watchRevision);
}
