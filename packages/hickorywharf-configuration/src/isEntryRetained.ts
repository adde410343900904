import {isDeepStrictEqual} from 'node:util';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {readSnapshot} from './readSnapshot.ts';
import type {SnapshotHead} from './snapshotHead.ts';
import {configurationKeys} from './configurationKeys.ts';

/**
 * Whether an accepted entry is still part of the configuration. After the store
 * was restored from an older state, a process writes back a snapshot of the
 * active configuration. An entry that was written in between, at a sequence
 * that the snapshot covers, is not part of it. Returns true as well if no
 * snapshot covers the entry or the store does not respond.
 *
 * @example
 *     await isEntryRetained(store, entry); // true
 */
export async function isEntryRetained(
  store: StoreClient,
  entry: ConfigurationEntry,
): Promise<boolean> {
  const head = await store.get(configurationKeys.snapshotHead);
  if (head.isErr() || head.value === null) return true;
  const {sequence} = head.value.value as SnapshotHead;
  if (sequence < entry.sequence) return true;
  const read = await readSnapshot(store);
  if (read.isErr() || read.value.snapshot === null) return true;
  const {documents, deletions = []} = read.value.snapshot;
  return entry.changes.every(({kind, name, document}) => {
    const isSame = (stored: {kind: string; name: string}) =>
      stored.kind === kind && stored.name === name;
    const stored = documents.find(isSame) ?? deletions.find(isSame);
    if (stored === undefined || stored.sequence < entry.sequence) return false;
    if (stored.sequence > entry.sequence) return true;
    const found = 'document' in stored ? stored.document : null;
    return isDeepStrictEqual(found, document);
  });
}
