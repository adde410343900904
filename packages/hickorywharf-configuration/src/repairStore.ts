import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {err, ok, type Result} from 'neverthrow';
import {compactConfiguration} from './compactConfiguration.ts';
import type {ConfigurationReplica} from './configurationReplica.ts';
import {configurationKeys} from './configurationKeys.ts';
import {loadConfiguration} from './loadConfiguration.ts';
import {readSnapshot} from './readSnapshot.ts';
import type {SnapshotHead} from './snapshotHead.ts';

type Snapshot = ReturnType<ConfigurationReplica['getSnapshot']>;

/** Whether two operation identifiers match; an unknown one matches any. */
function isSameOperation(
  left: string | null | undefined,
  right: string | null | undefined,
): boolean {
  return (left ?? right) === (right ?? left);
}

/** Whether the store's log holds the newest active entry or a later one. */
async function isInLog(
  store: StoreClient,
  {sequence, operation}: Snapshot,
): Promise<Result<boolean, StoreError>> {
  const slot = await store.get(configurationKeys.getLogKey(sequence));
  return slot.map((item) => {
    const entry = item?.value as ConfigurationEntry | undefined;
    if (entry === undefined || entry.sequence < sequence) return false;
    return (
      entry.sequence > sequence || isSameOperation(entry.operation, operation)
    );
  });
}

/** Applies the store's newer snapshot to the replica; writes nothing. */
async function applyNewer(
  store: StoreClient,
  replica: ConfigurationReplica,
): Promise<Result<boolean, StoreError>> {
  const read = await readSnapshot(store);
  return read.map(({snapshot}) => {
    if (snapshot !== null) replica.receiveSnapshot(snapshot);
    return false;
  });
}

async function writeSnapshot(
  store: StoreClient,
  replica: ConfigurationReplica,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const loaded = await loadConfiguration(store);
  if (loaded.isErr()) return err(loaded.error);
  const snapshot = replica.getSnapshot();
  const {log} = loaded.value;
  const isBehindPeers = replica
    .getStatus()
    .peers.some(({sequence}) => sequence > snapshot.sequence);
  if (isBehindPeers && log.sequence > snapshot.sequence) {
    // The peers continued with the store while this process was partitioned.
    replica.receiveSnapshot(log.getSnapshot());
    return ok(false);
  }
  const written =
    log.sequence < snapshot.sequence
      ? snapshot
      : {...snapshot, sequence: log.sequence + 1, operation};
  const result = await compactConfiguration(store, written, operation);
  if (result.isOk() && result.value) replica.receiveSnapshot(written);
  return result;
}

/**
 * Checks whether the store still holds this process's active configuration. If
 * the store was restored from an older state, the active configuration takes
 * precedence and is written back as a snapshot; many processes may try this
 * concurrently. If an operator has written to the restored store meanwhile, the
 * snapshot gets a new sequence after both, so that every process treats it as
 * newer. A process whose peers continued with the store follows them instead,
 * and a newer snapshot in the store is applied to the replica.
 *
 * @returns whether a snapshot was written
 * @example
 *     await repairStore(store, replica, randomUUID()); // ok(false)
 */
export async function repairStore(
  store: StoreClient,
  replica: ConfigurationReplica,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const snapshot = replica.getSnapshot();
  const read = await store.get(configurationKeys.snapshotHead);
  if (read.isErr()) return err(read.error);
  const head = read.value?.value as SnapshotHead | undefined;
  const headSequence = head?.sequence ?? 0;
  if (headSequence > snapshot.sequence) return applyNewer(store, replica);
  const isCovered =
    headSequence === snapshot.sequence &&
    isSameOperation(head?.entryOperation, snapshot.operation);
  if (isCovered) return ok(false);
  if (headSequence < snapshot.sequence) {
    const inLog = await isInLog(store, snapshot);
    if (inLog.isErr()) return err(inLog.error);
    if (inLog.value) return ok(false);
  }
  return writeSnapshot(store, replica, operation);
}
