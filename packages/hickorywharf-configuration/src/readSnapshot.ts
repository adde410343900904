import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {Frame} from 'hickorywharf-types/frame';
import {err, ok, type Result} from 'neverthrow';
import {configurationKeys} from './configurationKeys.ts';
import type {SnapshotHead} from './snapshotHead.ts';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;
type Chunk = Pick<Snapshot, 'documents' | 'deletions' | 'halfMoves'>;

interface StoredSnapshot {
  readonly snapshot: Snapshot | null;
  /** Revision of the head; 0 if there is none. */
  readonly revision: number;
}

/** Attempts to read a snapshot while compactions replace it. */
const MAXIMUM_READS = 5;

async function readChunks(
  store: StoreClient,
  head: SnapshotHead,
): Promise<Result<Snapshot | null, StoreError>> {
  const documents: Snapshot['documents'][number][] = [];
  const deletions: NonNullable<Snapshot['deletions']>[number][] = [];
  const halfMoves: NonNullable<Snapshot['halfMoves']>[number][] = [];
  for (let index = 0; index < head.chunks; index += 1) {
    const key = configurationKeys.getChunkKey(head.operation, index);
    const read = await store.get(key);
    if (read.isErr()) return err(read.error);
    // The writer of a newer snapshot has removed it: read the new head.
    if (read.value === null) return ok(null);
    const chunk = read.value.value as Chunk;
    documents.push(...chunk.documents);
    deletions.push(...(chunk.deletions ?? []));
    halfMoves.push(...(chunk.halfMoves ?? []));
  }
  const {sequence, entryOperation = null} = head;
  return ok({
    tag: 'configurationSnapshot',
    sequence,
    operation: entryOperation,
    documents,
    deletions,
    halfMoves,
  });
}

/**
 * Reads the newest snapshot of the configuration from the store.
 *
 * @returns the snapshot, which is null if there is none, or the error
 *   `unavailable` if it was replaced during every read
 * @example
 *     const read = await readSnapshot(store);
 *     read.map(({snapshot}) => snapshot?.sequence); // ok(17)
 */
export async function readSnapshot(
  store: StoreClient,
): Promise<Result<StoredSnapshot, StoreError>> {
  for (let reads = 0; reads < MAXIMUM_READS; reads += 1) {
    const read = await store.get(configurationKeys.snapshotHead);
    if (read.isErr()) return err(read.error);
    if (read.value === null) return ok({snapshot: null, revision: 0});
    const {value, revision} = read.value;
    const chunks = await readChunks(store, value as SnapshotHead);
    if (chunks.isErr()) return err(chunks.error);
    if (chunks.value !== null) return ok({snapshot: chunks.value, revision});
  }
  return err({
    tag: 'unavailable',
    step: 'claim',
    peer: configurationKeys.snapshotHead,
    message: 'the snapshot was replaced during every read',
  });
}
