import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {configurationKeys} from './configurationKeys.ts';

/** What became of a change of configuration. */
type ApplyOutcome =
  | {readonly tag: 'accepted'; readonly sequence: number}
  | {readonly tag: 'refused'; readonly winner: ConfigurationEntry}
  | {readonly tag: 'unavailable'; readonly message: string}
  | {readonly tag: 'unknown'; readonly message: string};

interface SettleOptions {
  readonly tries: number;
  readonly pauseMilliseconds: number;
}

const SETTLE: SettleOptions = {tries: 20, pauseMilliseconds: 250};

async function settle(
  store: StoreClient,
  entry: ConfigurationEntry,
  message: string,
  options: SettleOptions,
): Promise<ApplyOutcome> {
  const key = configurationKeys.getLogKey(entry.sequence);
  for (let tries = 0; tries < options.tries; tries += 1) {
    const read = await store.get(key);
    const found = read.isOk() ? read.value : null;
    const winner = found?.value as ConfigurationEntry | undefined;
    if (winner?.sequence === entry.sequence) {
      const isOwn = winner.operation === entry.operation;
      return isOwn
        ? {tag: 'accepted', sequence: entry.sequence}
        : {tag: 'refused', winner};
    }
    await sleep(options.pauseMilliseconds);
  }
  // Absent so far proves nothing: the write may still be under way.
  return {tag: 'unknown', message};
}

/**
 * Writes one entry of the configuration log over the slot's older entry. It is
 * accepted only once it was seen in the store; a lost answer is settled by
 * reading back the operation's identifier and never by writing again.
 *
 * @param expectedRevision revision of the slot, 0 where it is empty
 * @example
 *     await applyChanges(store, {sequence: 4, operation, changes}, 0);
 */
export async function applyChanges(
  store: StoreClient,
  entry: ConfigurationEntry,
  expectedRevision: number,
  options: SettleOptions = SETTLE,
): Promise<ApplyOutcome> {
  const key = configurationKeys.getLogKey(entry.sequence);
  const written = await store.compareAndSwap(key, entry, expectedRevision);
  if (written.isOk()) return {tag: 'accepted', sequence: entry.sequence};
  const {tag, message} = written.error;
  if (tag === 'unavailable') return {tag: 'unavailable', message};
  return settle(store, entry, message, options);
}
