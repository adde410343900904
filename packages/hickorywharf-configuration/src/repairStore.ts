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

/** Whether two operations may be the same one, as far as they are known. */
function isSame(
  left: string | null | undefined,
  right: string | null | undefined,
): boolean {
  return (left ?? right) === (right ?? left);
}

/** Whether the store's log has what is in force, at its sequence. */
async function isInLog(
  store: StoreClient,
  {sequence, operation}: Snapshot,
): Promise<Result<boolean, StoreError>> {
  const slot = await store.get(configurationKeys.getLogKey(sequence));
  return slot.map((item) => {
    const entry = item?.value as ConfigurationEntry | undefined;
    if (entry === undefined || entry.sequence < sequence) return false;
    return entry.sequence > sequence || isSame(entry.operation, operation);
  });
}

/** Brings a process forward to a snapshot that is newer than what it has. */
async function takeNewer(
  store: StoreClient,
  keeper: ConfigurationReplica,
): Promise<Result<boolean, StoreError>> {
  const read = await readSnapshot(store);
  return read.map(({snapshot}) => {
    if (snapshot !== null) keeper.receiveSnapshot(snapshot);
    return false;
  });
}

async function write(
  store: StoreClient,
  keeper: ConfigurationReplica,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const loaded = await loadConfiguration(store);
  if (loaded.isErr()) return err(loaded.error);
  const snapshot = keeper.getSnapshot();
  const {log} = loaded.value;
  const isBehindPeers = keeper
    .getStatus()
    .peers.some(({sequence}) => sequence > snapshot.sequence);
  if (isBehindPeers && log.sequence > snapshot.sequence) {
    // The others went on with the store while this process was cut off.
    keeper.receiveSnapshot(log.getSnapshot());
    return ok(false);
  }
  const written =
    log.sequence < snapshot.sequence
      ? snapshot
      : {...snapshot, sequence: log.sequence + 1, operation};
  const result = await compactConfiguration(store, written, operation);
  if (result.isOk() && result.value) keeper.receiveSnapshot(written);
  return result;
}

/**
 * Looks whether the store still holds what is in force here. Where it was
 * restored from an older state, what is in force wins and is written back as
 * a snapshot, which many processes may try at once. Where an operator has
 * written to the restored store meanwhile, the snapshot takes a sequence of
 * its own, after both, so that it is newer for everybody. A process whose
 * peers went on with the store follows them instead.
 *
 * @returns whether something was written back
 * @example
 *     await writeBack(store, keeper, randomUUID());
 */
export async function repairStore(
  store: StoreClient,
  keeper: ConfigurationReplica,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const snapshot = keeper.getSnapshot();
  const read = await store.get(configurationKeys.snapshotHead);
  if (read.isErr()) return err(read.error);
  const head = read.value?.value as SnapshotHead | undefined;
  const covered = head?.sequence ?? 0;
  if (covered > snapshot.sequence) return takeNewer(store, keeper);
  const isCovered =
    covered === snapshot.sequence &&
    isSame(head?.entryOperation, snapshot.operation);
  if (isCovered) return ok(false);
  if (covered < snapshot.sequence) {
    const held = await isInLog(store, snapshot);
    if (held.isErr()) return err(held.error);
    if (held.value) return ok(false);
  }
  return write(store, keeper, operation);
}
