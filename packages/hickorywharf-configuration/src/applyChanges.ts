import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {configurationKeys} from './configurationKeys.ts';

/** Outcome of writing an entry to the configuration log. */
type ApplyOutcome =
  | {readonly tag: 'accepted'; readonly sequence: number}
  | {readonly tag: 'refused'; readonly stored: ConfigurationEntry}
  | {readonly tag: 'unavailable'; readonly message: string}
  | {readonly tag: 'unknown'; readonly message: string};

interface ReadBackOptions {
  readonly maximumReads: number;
  readonly intervalMilliseconds: number;
}

const READ_BACK: ReadBackOptions = {
  maximumReads: 20,
  intervalMilliseconds: 250,
};

async function readBack(
  store: StoreClient,
  entry: ConfigurationEntry,
  message: string,
  options: ReadBackOptions,
): Promise<ApplyOutcome> {
  const key = configurationKeys.getLogKey(entry.sequence);
  for (let reads = 0; reads < options.maximumReads; reads += 1) {
    const read = await store.get(key);
    const found = read.isOk() ? read.value : null;
    const stored = found?.value as ConfigurationEntry | undefined;
    if (stored?.sequence === entry.sequence) {
      const isOwn = stored.operation === entry.operation;
      return isOwn
        ? {tag: 'accepted', sequence: entry.sequence}
        : {tag: 'refused', stored};
    }
    await sleep(options.intervalMilliseconds);
  }
  // A missing entry proves nothing: the write may still be in progress.
  return {tag: 'unknown', message};
}

/**
 * Writes one entry of the configuration log to its slot, over an older entry.
 * It counts as accepted only once the store has confirmed it. If the response
 * is lost, the outcome is determined by reading the slot back and comparing
 * operation identifiers, and never by writing again.
 *
 * @param expectedRevision revision of the slot; 0 if it is empty
 * @returns `refused`, with the entry in the slot, if another one was written
 *   first; `unavailable` if nothing was written; `unknown` if reading back gave
 *   no proof
 * @example
 *     // {tag: 'accepted', sequence: 4}
 *     await applyChanges(store, {sequence: 4, operation, changes}, 0);
 */
export async function applyChanges(
  store: StoreClient,
  entry: ConfigurationEntry,
  expectedRevision: number,
  options: ReadBackOptions = READ_BACK,
): Promise<ApplyOutcome> {
  const key = configurationKeys.getLogKey(entry.sequence);
  const written = await store.compareAndSwap(key, entry, expectedRevision);
  if (written.isOk()) return {tag: 'accepted', sequence: entry.sequence};
  const {tag, message} = written.error;
  if (tag === 'unavailable') return {tag: 'unavailable', message};
  return readBack(store, entry, message, options);
}
