import {Buffer} from 'node:buffer';
import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Result} from 'neverthrow';
import {applyChanges} from './applyChanges.ts';
import type {ChangeOutcome} from './changeOutcome.ts';
import {compactConfiguration} from './compactConfiguration.ts';
import {configurationKeys} from './configurationKeys.ts';
import {checkChange} from './findings/checkChange.ts';
import {findConflictingRecords} from './findConflictingRecords.ts';
import {isEntryRetained} from './isEntryRetained.ts';
import {loadConfiguration} from './loadConfiguration.ts';
import {previewChanges} from './previewChanges.ts';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;
type Changes = ConfigurationEntry['changes'];
type Refused = Extract<ChangeOutcome, {tag: 'refused'}>;

interface ChangeOptions {
  readonly store: StoreClient;
  readonly createOperation: () => string;
  /** Computes the wanted changes from the configuration in the store. */
  readonly plan: (log: ConfigurationLog) => Result<Changes, string>;
  /**
   * Sequence that the change is based on. The change is refused if one of its
   * records was changed later. Null for the sequence that is read first.
   */
  readonly base: number | null;
  /**
   * The newest sequence known to be active at an instance. The change is
   * refused if the store is behind it.
   */
  readonly activeSequence: number;
}

interface Loaded {
  readonly log: ConfigurationLog;
  readonly nextRevision: number;
  readonly snapshotSequence: number;
}

/** Attempts, each lost to a change of other records, before a refusal. */
const MAXIMUM_ATTEMPTS = 20;
/** Entries after a snapshot until an operator's command writes the next. */
const COMPACT_AFTER_ENTRIES = 128;
/** Below the store's limit of one megabyte per value. */
const MAXIMUM_ENTRY_BYTES = 900_000;

function refuse(message: string, overlap: readonly string[] = []): Refused {
  return {tag: 'refused', message, overlap};
}

/** Whether the next slot still holds an entry that no snapshot includes. */
function isRingFull({log, snapshotSequence}: Loaded): boolean {
  return log.sequence + 1 - configurationKeys.slots > snapshotSequence;
}

async function compactIfDue(
  options: ChangeOptions,
  {log, snapshotSequence}: Loaded,
): Promise<void> {
  if (log.sequence - snapshotSequence < COMPACT_AFTER_ENTRIES) return;
  const operation = options.createOperation();
  await compactConfiguration(options.store, log.getSnapshot(), operation);
}

function findRefusal(
  {log}: Loaded,
  entry: ConfigurationEntry,
  base: number,
): Refused | null {
  const overlap = findConflictingRecords(
    log.getSnapshot(),
    entry.changes,
    base,
  );
  if (overlap.length > 0) {
    const records = overlap.join(', ');
    return refuse(
      `changed by another operator after sequence ${base}: ${records}`,
      overlap,
    );
  }
  const errors = checkChange(log, previewChanges(log, entry.changes)).filter(
    ({severity}) => severity === 'error',
  );
  if (errors.length > 0) {
    return refuse(
      errors.map(({record, message}) => `${record}: ${message}`).join('; '),
    );
  }
  if (Buffer.byteLength(JSON.stringify(entry)) <= MAXIMUM_ENTRY_BYTES) {
    return null;
  }
  return refuse(
    `the change exceeds ${MAXIMUM_ENTRY_BYTES} bytes, which is more than the store accepts as one value; apply it in parts`,
  );
}

async function writeEntry(
  options: ChangeOptions,
  loaded: Loaded,
  entry: ConfigurationEntry,
): Promise<ChangeOutcome | 'lost'> {
  const {store} = options;
  const {operation, changes} = entry;
  const outcome = await applyChanges(store, entry, loaded.nextRevision);
  switch (outcome.tag) {
    case 'refused':
      return 'lost';
    case 'unavailable':
      return outcome;
    case 'unknown':
      return {...outcome, operation};
    case 'accepted': {
      if (!(await isEntryRetained(store, entry))) {
        return refuse(
          'the store was restored from an older state during the write, and the active configuration was written back without this change; apply again',
        );
      }
      loaded.log.applyEntries([entry]);
      await compactIfDue(options, loaded);
      return {...outcome, operation, changes};
    }
  }
}

/**
 * Plans an operator's change on the configuration in the store and writes it as
 * one log entry. If another operator's change was written first, this one is
 * retried after it if the two have no record in common, else it is refused. A
 * change that gives an error of `checkChange` or is larger than a log entry may
 * be is refused too. If the store's response is lost, the entry is read back.
 *
 * @example
 *     await changeConfiguration({store, createOperation, plan, base: null,
 *       activeSequence: 0}); // {tag: 'accepted', sequence: 4, …}
 */
export async function changeConfiguration(
  options: ChangeOptions,
): Promise<ChangeOutcome> {
  const {store, plan, activeSequence} = options;
  const operation = options.createOperation();
  let changes: Changes | null = null;
  let {base} = options;
  for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts += 1) {
    const read = await loadConfiguration(store);
    if (read.isErr()) return {tag: 'unavailable', message: read.error.message};
    const loaded = read.value;
    const {log} = loaded;
    // The store was restored from an older state: nothing in it is reliable.
    if (log.sequence < activeSequence) {
      return refuse(
        `the store is at sequence ${log.sequence} but an instance has ${activeSequence} active: the store was restored from an older state; apply again once an entry has written back the active configuration`,
      );
    }
    if (isRingFull(loaded)) {
      await compactIfDue(options, loaded);
      continue;
    }
    if (changes === null) {
      const planned = plan(log);
      if (planned.isErr()) return refuse(planned.error);
      changes = planned.value;
    }
    base ??= log.sequence;
    if (changes.length === 0) return {tag: 'unchanged', sequence: log.sequence};
    const entry = {
      sequence: log.sequence + 1,
      operation,
      previous: log.operation,
      changes,
    };
    const refusal = findRefusal(loaded, entry, base);
    if (refusal !== null) return refusal;
    const outcome = await writeEntry(options, loaded, entry);
    if (outcome !== 'lost') return outcome;
  }
  return refuse(
    'changes of other operators were written first in every attempt; apply again',
  );
}
