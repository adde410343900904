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
  /** The changes that are wanted, from the configuration in the store. */
  readonly plan: (log: ConfigurationLog) => Result<Changes, string>;
  /** Refuses where a record to be changed was changed after this sequence. */
  readonly base: number | null;
  /** The newest sequence that is known to be in force at an instance. */
  readonly activeSequence: number;
}

interface Loaded {
  readonly log: ConfigurationLog;
  readonly nextRevision: number;
  readonly snapshotSequence: number;
}

/** Races lost to disjoint changes before the operator is told. */
const MAXIMUM_TRIES = 20;
/** Entries after a snapshot before an operator's command writes the next. */
const COMPACT_AFTER_ENTRIES = 128;
/** Under the megabyte that the store takes as a value. */
const MAXIMUM_ENTRY_BYTES = 900_000;

function refuse(message: string, overlap: readonly string[] = []): Refused {
  return {tag: 'refused', message, overlap};
}

/** Whether the next entry's slot still holds one that no snapshot has. */
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
    `the change has more than ${MAXIMUM_ENTRY_BYTES} bytes, more than the store takes as one value; apply it in parts`,
  );
}

async function write(
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
          'the store was restored from an older state while this was written, and what is in force came back without it; apply again',
        );
      }
      loaded.log.applyEntries([entry]);
      await compactIfDue(options, loaded);
      return {...outcome, operation, changes};
    }
  }
}

/**
 * Carries out an operator's change: plans it on what the store holds, writes
 * it as one entry of the log, and settles a lost answer. Where another
 * operator came first with a change of other records, the same changes are
 * tried on top; where a record is the same, the change is refused.
 *
 * @example
 *     await changeConfiguration({store, createOperation, plan, base: null,
 *       activeSequence: 0});
 */
export async function changeConfiguration(
  options: ChangeOptions,
): Promise<ChangeOutcome> {
  const {store, plan, activeSequence: activeSequence} = options;
  const operation = options.createOperation();
  let changes: Changes | null = null;
  let {base} = options;
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    const read = await loadConfiguration(store);
    if (read.isErr()) return {tag: 'unavailable', message: read.error.message};
    const loaded = read.value;
    const {log} = loaded;
    // Nothing that is read from a store that went back may be relied on.
    if (log.sequence < activeSequence) {
      return refuse(
        `the store is at sequence ${log.sequence} and an instance has ${activeSequence} in force: the store was restored from an older state; apply again once an entry has written back what is in force`,
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
    const outcome = await write(options, loaded, entry);
    if (outcome !== 'lost') return outcome;
  }
  return refuse('other operators came first each time; apply again');
}
