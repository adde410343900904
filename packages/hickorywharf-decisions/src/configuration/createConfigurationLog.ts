import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {Frame} from 'hickorywharf-types/frame';
import type {ConfigurationView} from './configurationView.ts';
import {createDocumentTable} from './createDocumentTable.ts';
import {createHalfMoveLog} from './createHalfMoveLog.ts';
import {getDocumentKey} from './getDocumentKey.ts';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/** Entries kept to bring a peer forward without a whole snapshot. */
const MAXIMUM_RECENT_ENTRIES = 512;
/** Entries kept behind a gap; what is left out is read from the store. */
const MAXIMUM_WAITING_ENTRIES = 1024;

interface ConfigurationLog {
  readonly sequence: number;
  /** The operation of the newest entry; null where it is not known. */
  readonly operation: string | null;
  /** The configuration in force. */
  getView(): ConfigurationView;
  /**
   * Takes entries in any order; those after a gap wait. Returns true where the
   * configuration in force moved forward.
   */
  applyEntries(entries: readonly ConfigurationEntry[]): boolean;
  /** Whether entries wait behind one that has not come. */
  hasGap(): boolean;
  /** Forgets the entries that wait, once their source was read again. */
  dropPendingEntries(): void;
  /** Takes a peer's whole copy; an older or equal one changes nothing. */
  applySnapshot(snapshot: Snapshot): boolean;
  /** What a peer at a sequence needs: entries, or a snapshot when too old. */
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
 * The configuration log as one process knows it. The sequence only grows:
 * whatever order entries and snapshots come in, an older one loses.
 *
 * @example
 *     const log = createConfigurationLog();
 *     log.applyEntries([{sequence: 1, operation: 'a', changes: []}]);
 */
export function createConfigurationLog(): ConfigurationLog {
  let sequence = 0;
  let operation: string | null = null;
  let recent: ConfigurationEntry[] = [];
  let view: ConfigurationView | null = null;
  const table = createDocumentTable();
  const waiting = new Map<number, ConfigurationEntry>();
  const halfMoves = createHalfMoveLog();

  /** Whether an entry follows the newest one, as far as both are known. */
  function isChained({previous}: ConfigurationEntry): boolean {
    if (previous === undefined || previous === null) return true;
    return operation === null || previous === operation;
  }

  function applyOne(entry: ConfigurationEntry): void {
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

  function applyWaiting(): void {
    for (
      let next = waiting.get(sequence + 1);
      next !== undefined;
      next = waiting.get(sequence + 1)
    ) {
      waiting.delete(next.sequence);
      if (!isChained(next)) return;
      applyOne(next);
    }
  }

  function take(entry: ConfigurationEntry): void {
    if (entry.sequence <= sequence) return;
    if (entry.sequence === sequence + 1) {
      waiting.delete(entry.sequence);
      if (!isChained(entry)) return;
      applyOne(entry);
      applyWaiting();
    } else if (waiting.size < MAXIMUM_WAITING_ENTRIES) {
      waiting.set(entry.sequence, entry);
    }
  }

  function dropWaitingUpToSequence(): void {
    for (const waitingSequence of waiting.keys()) {
      if (waitingSequence <= sequence) waiting.delete(waitingSequence);
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
      applyWaiting();
      for (const entry of entries) take(entry);
      if (sequence > before) view = null;
      return sequence > before;
    },
    hasGap: () => waiting.size > 0,
    dropPendingEntries: () => waiting.clear(),
    applySnapshot(snapshot) {
      if (snapshot.sequence <= sequence) return false;
      table.replace(snapshot.documents, snapshot.deletions ?? []);
      halfMoves.replace(snapshot.halfMoves ?? []);
      sequence = snapshot.sequence;
      operation = snapshot.operation ?? null;
      recent = [];
      view = null;
      dropWaitingUpToSequence();
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
