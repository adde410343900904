import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {Frame} from 'hickorywharf-types/frame';
import type {ConfigurationView} from './configurationView.ts';
import {createDocumentTable} from './createDocumentTable.ts';
import {createHalfMoveLog} from './createHalfMoveLog.ts';
import {getDocumentKey} from './getDocumentKey.ts';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/** Recent entries retained to update a peer without a full snapshot. */
const MAXIMUM_RECENT_ENTRIES = 512;
/** Entries buffered behind a gap; others are read from the store later. */
const MAXIMUM_PENDING_ENTRIES = 1024;

interface ConfigurationLog {
  readonly sequence: number;
  /** Operation identifier of the newest entry; null if it is unknown. */
  readonly operation: string | null;
  /** Returns the active configuration. */
  getView(): ConfigurationView;
  /**
   * Applies entries given in any order. Entries behind a gap in the sequence
   * numbers stay pending, up to `MAXIMUM_PENDING_ENTRIES`. An entry is ignored
   * if its `previous` and the newest operation are both known and differ.
   * Returns whether the sequence advanced.
   */
  applyEntries(entries: readonly ConfigurationEntry[]): boolean;
  /** Whether entries are pending behind a missing one. */
  hasGap(): boolean;
  /** Drops the pending entries; the caller reads their source again. */
  dropPendingEntries(): void;
  /**
   * Replaces the configuration with a snapshot. Returns false, without any
   * change, if the snapshot is not newer.
   */
  applySnapshot(snapshot: Snapshot): boolean;
  /**
   * Returns what updates a peer from its sequence: the entries after it, or a
   * snapshot if these are no longer retained; null if the peer is up to date.
   */
  getUpdateAfter(sequence: number): Frame | null;
  getSnapshot(): Snapshot;
}

function createView(
  sequence: number,
  records: Iterable<ConfigurationRecord>,
  moves: Pick<ConfigurationView, 'halfMoves' | 'assignmentSequence'>,
): ConfigurationView {
  const pipelines = new Map();
  const routes = new Map();
  const accountsByKeyHash = new Map();
  const endpoints = new Map<
    string,
    Extract<ConfigurationRecord, {kind: 'endpoint'}>
  >();
  const indexes: Record<string, (record: ConfigurationRecord) => void> = {
    pipeline: (record) => pipelines.set(record.name, record),
    route: (record) => routes.set(record.name, record),
    endpoint: (record) => {
      if (record.kind === 'endpoint') endpoints.set(record.name, record);
    },
    account: (record) => {
      if (record.kind === 'account') {
        accountsByKeyHash.set(record.keyHash, record);
      }
    },
  };
  for (const record of records) indexes[record.kind]!(record);
  return {
    sequence,
    pipelines,
    routes,
    accountsByKeyHash,
    endpoints,
    endpointsByPool: Map.groupBy(endpoints.values(), ({pool}) => pool),
    ...moves,
  };
}

/**
 * Creates one process's replica of the configuration log. The sequence never
 * decreases: entries and snapshots may arrive in any order, and older ones are
 * ignored.
 *
 * @example
 *     const log = createConfigurationLog();
 *     log.applyEntries([{sequence: 1, operation: 'a', changes: []}]); // true
 */
export function createConfigurationLog(): ConfigurationLog {
  let sequence = 0;
  let operation: string | null = null;
  let recent: ConfigurationEntry[] = [];
  let view: ConfigurationView | null = null;
  const table = createDocumentTable();
  const pending = new Map<number, ConfigurationEntry>();
  const halfMoves = createHalfMoveLog();

  /**
   * Whether an entry names the newest one as its predecessor. It does not where
   * the store was restored from an older state and written to again. An unknown
   * identifier on either side counts as a match.
   */
  function isChained({previous}: ConfigurationEntry): boolean {
    if (previous === undefined || previous === null) return true;
    return operation === null || previous === operation;
  }

  function applyNext(entry: ConfigurationEntry): void {
    const keys = entry.changes.map(({kind, name}) =>
      getDocumentKey(kind, name),
    );
    const before = keys.map((key) => table.getRecord(key));
    table.applyEntry(entry);
    for (const [index, key] of keys.entries()) {
      halfMoves.recordChange(
        key,
        before[index],
        table.getRecord(key),
        entry.sequence,
      );
    }
    sequence = entry.sequence;
    operation = entry.operation;
    recent.push(entry);
    if (recent.length > MAXIMUM_RECENT_ENTRIES) recent.shift();
  }

  function applyPending(): void {
    for (
      let next = pending.get(sequence + 1);
      next !== undefined;
      next = pending.get(sequence + 1)
    ) {
      pending.delete(next.sequence);
      if (!isChained(next)) return;
      applyNext(next);
    }
  }

  function applyOrBuffer(entry: ConfigurationEntry): void {
    if (entry.sequence <= sequence) return;
    if (entry.sequence === sequence + 1) {
      pending.delete(entry.sequence);
      if (!isChained(entry)) return;
      applyNext(entry);
      applyPending();
    } else if (pending.size < MAXIMUM_PENDING_ENTRIES) {
      pending.set(entry.sequence, entry);
    }
  }

  function dropObsoletePending(): void {
    for (const pendingSequence of pending.keys()) {
      if (pendingSequence <= sequence) pending.delete(pendingSequence);
    }
  }

  return {
    get sequence() {
      return sequence;
    },
    get operation() {
      return operation;
    },
    getView() {
      view ??= createView(sequence, table.getRecords(), halfMoves.getView());
      return view;
    },
    applyEntries(entries) {
      const before = sequence;
      applyPending();
      for (const entry of entries) applyOrBuffer(entry);
      if (sequence > before) view = null;
      return sequence > before;
    },
    hasGap: () => pending.size > 0,
    dropPendingEntries: () => pending.clear(),
    applySnapshot(snapshot) {
      if (snapshot.sequence <= sequence) return false;
      table.replace(snapshot.documents, snapshot.deletions ?? []);
      halfMoves.replace(snapshot.halfMoves ?? []);
      sequence = snapshot.sequence;
      operation = snapshot.operation ?? null;
      recent = [];
      view = null;
      dropObsoletePending();
      this.applyEntries([]);
      return true;
    },
    getUpdateAfter(after) {
      if (after >= sequence) return null;
      const oldest = recent[0]?.sequence ?? sequence + 1;
      if (after + 1 < oldest) return this.getSnapshot();
      const entries = recent.filter((entry) => entry.sequence > after);
      return {tag: 'configuration', entries};
    },
    getSnapshot: () => ({
      tag: 'configurationSnapshot',
      sequence,
      operation,
      documents: table.getDocuments(),
      deletions: table.getDeletions(),
      halfMoves: halfMoves.getMoves(),
    }),
  };
}
