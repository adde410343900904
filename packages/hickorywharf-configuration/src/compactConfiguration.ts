import {Buffer} from 'node:buffer';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {Frame} from 'hickorywharf-types/frame';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {err, ok, type Result} from 'neverthrow';
import {configurationKeys} from './configurationKeys.ts';
import type {SnapshotHead} from './snapshotHead.ts';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;
type Chunk = Pick<Snapshot, 'documents' | 'deletions' | 'halfMoves'>;

/** Well below the store's limit of one megabyte per value. */
const MAXIMUM_CHUNK_BYTES = 700_000;

function splitIntoChunks(snapshot: Snapshot): Chunk[] {
  const {deletions = [], halfMoves = []} = snapshot;
  const lists: StoredDocument[][] = [[]];
  let bytes = Buffer.byteLength(JSON.stringify([deletions, halfMoves]));
  for (const stored of snapshot.documents) {
    const size = Buffer.byteLength(JSON.stringify(stored)) + 1;
    if (bytes + size > MAXIMUM_CHUNK_BYTES) {
      lists.push([]);
      bytes = 0;
    }
    lists.at(-1)!.push(stored);
    bytes += size;
  }
  return lists.map((documents, index) =>
    index === 0 ? {documents, deletions, halfMoves} : {documents},
  );
}

/** Removes unreferenced chunks of older or interrupted compactions. */
async function removeOldChunks(
  store: StoreClient,
  operation: string,
  headRevision: number,
): Promise<void> {
  const listed = await store.list(configurationKeys.chunkPrefix);
  if (listed.isErr()) return;
  const own = `${configurationKeys.chunkPrefix}${operation}/`;
  for (const {key, revision} of listed.value) {
    // A later chunk may belong to a compaction that has yet to commit its head.
    if (key.startsWith(own) || revision > headRevision) continue;
    await store.remove(key, revision);
  }
}

/**
 * Writes a snapshot of the configuration, so that the slots of the log can be
 * reused. The chunks are written first, then the head by compare-and-swap: a
 * crash in between leaves only unreferenced chunks, and only one of two
 * concurrent compactions commits.
 *
 * @returns whether it was written; false if the store has one at least as new
 * @example
 *     // ok(true)
 *     await compactConfiguration(store, log.getSnapshot(), randomUUID());
 */
export async function compactConfiguration(
  store: StoreClient,
  snapshot: Snapshot,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const read = await store.get(configurationKeys.snapshotHead);
  if (read.isErr()) return err(read.error);
  const head = read.value?.value as SnapshotHead | undefined;
  if ((head?.sequence ?? 0) >= snapshot.sequence) return ok(false);
  const chunks = splitIntoChunks(snapshot);
  for (const [index, chunk] of chunks.entries()) {
    const key = configurationKeys.getChunkKey(operation, index);
    const written = await store.compareAndSwap(key, chunk, 0);
    // Chunks are unreferenced until the head is written: aborting is safe.
    if (written.isErr()) return err(written.error);
  }
  const committed = await store.compareAndSwap(
    configurationKeys.snapshotHead,
    {
      sequence: snapshot.sequence,
      operation,
      chunks: chunks.length,
      entryOperation: snapshot.operation ?? null,
    } satisfies SnapshotHead,
    read.value?.revision ?? 0,
  );
  if (committed.isErr()) return err(committed.error);
  await removeOldChunks(store, operation, committed.value);
  return ok(true);
}
