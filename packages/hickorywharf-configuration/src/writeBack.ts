import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {err, ok, type Result} from 'neverthrow';
import {compactConfiguration} from './compactConfiguration.ts';
import type {ConfigurationKeeper} from './configurationKeeper.ts';
import {configurationKeys} from './configurationKeys.ts';
import type {SnapshotHead} from './snapshotHead.ts';

/**
 * Looks whether the store still holds what is in force here. Where it was
 * restored from an older state, what is in force wins and is written back as
 * a snapshot, which many processes may try at once.
 *
 * @returns whether something was written back
 * @example
 *     await writeBack(store, keeper, randomUUID());
 */
export async function writeBack(
  store: StoreClient,
  keeper: ConfigurationKeeper,
  operation: string,
): Promise<Result<boolean, StoreError>> {
  const {sequence} = keeper;
  const slot = await store.get(configurationKeys.getLogKey(sequence));
  if (slot.isErr()) return err(slot.error);
  const held = slot.value?.value as ConfigurationEntry | undefined;
  if ((held?.sequence ?? 0) >= sequence) return ok(false);
  const head = await store.get(configurationKeys.snapshotHead);
  if (head.isErr()) return err(head.error);
  const covered = head.value?.value as SnapshotHead | undefined;
  if ((covered?.sequence ?? 0) >= sequence) return ok(false);
  return compactConfiguration(store, keeper.getSnapshot(), operation);
}
