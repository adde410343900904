import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {err, ok, type Result} from 'neverthrow';
import {configurationKeys} from './configurationKeys.ts';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;

interface Tail {
  /** Revision of the slot that the next entry overwrites; 0 if empty. */
  readonly nextRevision: number;
  /** Revision after which a watch misses no entry. */
  readonly watchRevision: number;
}

/**
 * Applies to a log the entries in the store that come after it, reading only
 * the segments of the ring buffer that hold them.
 *
 * @returns the revisions, or the error `unavailable` if the log grows faster
 *   than it is read
 * @example
 *     const tail = await readTail(store, log);
 *     tail.map(({nextRevision}) => nextRevision); // ok(0): an empty slot
 */
export async function readTail(
  store: StoreClient,
  log: Pick<ConfigurationLog, 'sequence' | 'applyEntries'>,
): Promise<Result<Tail, StoreError>> {
  let watchRevision = 0;
  const segments = configurationKeys.slots / configurationKeys.slotsPerSegment;
  for (let read = 0; read <= segments; read += 1) {
    const prefix = configurationKeys.getSegmentPrefix(log.sequence + 1);
    const listed = await store.list(prefix);
    if (listed.isErr()) return err(listed.error);
    const items = listed.value;
    log.applyEntries(items.map(({value}) => value as ConfigurationEntry));
    for (const {revision} of items) {
      watchRevision = Math.max(watchRevision, revision);
    }
    const nextKey = configurationKeys.getLogKey(log.sequence + 1);
    // The segment is read to its end: the tail may continue in the next one.
    if (!nextKey.startsWith(prefix)) continue;
    const next = items.find(({key}) => key === nextKey);
    return ok({nextRevision: next?.revision ?? 0, watchRevision});
  }
  return err({
    tag: 'unavailable',
    step: 'claim',
    peer: configurationKeys.logPrefix,
    message: 'the log grew faster than it could be read',
  });
}
