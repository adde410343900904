import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {Frame} from 'hickorywharf-types/frame';
import type {ConfigurationView} from './configurationView.ts';
import {createHalfMoveLog} from './createHalfMoveLog.ts';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;
type StoredDocument = Snapshot['documents'][number];

/** Entries kept to bring a peer forward without a whole snapshot. */
const MAXIMUM_RECENT_ENTRIES = 512;

interface ConfigurationLog {
  readonly sequence: number;
  /** The configuration in force. */
  getView(): ConfigurationView;
  /**
   * Takes entries in any order; those after a gap wait. Returns true where the
   * configuration in force moved forward.
   */
  applyEntries(entries: readonly ConfigurationEntry[]): boolean;
  /** Takes a peer's whole copy; an older or equal one changes nothing. */
  applySnapshot(snapshot: Snapshot): boolean;
  /** What a peer at a sequence needs: entries, or a snapshot when too old. */
  getSince(sequence: number): Frame | null;
  getSnapshot(): Snapshot;
}

function getDocumentKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}

function createView(
  sequence: number,
  records: Iterable<ConfigurationRecord>,
  moves: Pick<ConfigurationView, 'halfMoves' | 'assignmentSequence'>,
): ConfigurationView {
  const pipelines = new Map();
  const routes = new Map();
  const accountsByKeyHash = new Map();
  const endpoints = new Map();
  const indexes: Record<string, (record: ConfigurationRecord) => void> = {
    pipeline: (record) => pipelines.set(record.name, record),
    route: (record) => routes.set(record.name, record),
    endpoint: (record) => endpoints.set(record.name, record),
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
  let recent: ConfigurationEntry[] = [];
  let view: ConfigurationView | null = null;
  const documents = new Map<string, StoredDocument>();
  const records = new Map<string, ConfigurationRecord>();
  const waiting = new Map<number, ConfigurationEntry>();
  const halfMoves = createHalfMoveLog();

  function setDocument(stored: StoredDocument): void {
    const key = getDocumentKey(stored.kind, stored.name);
    documents.set(key, stored);
    // A document that cannot be interpreted leaves the last record readable.
    normalizeRecord(stored.document).map((record) => records.set(key, record));
  }

  function removeDocument(kind: string, name: string): void {
    const key = getDocumentKey(kind, name);
    documents.delete(key);
    records.delete(key);
  }

  function applyOne(entry: ConfigurationEntry): void {
    for (const {kind, name, document} of entry.changes) {
      const key = getDocumentKey(kind, name);
      const before = records.get(key);
      if (document === null) removeDocument(kind, name);
      else setDocument({kind, name, document, sequence: entry.sequence});
      halfMoves.note(key, before, records.get(key), entry.sequence);
    }
    sequence = entry.sequence;
    recent.push(entry);
    if (recent.length > MAXIMUM_RECENT_ENTRIES) recent.shift();
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
    getView() {
      view ??= createView(sequence, records.values(), halfMoves.getView());
      return view;
    },
    applyEntries(entries) {
      const before = sequence;
      for (const entry of entries) {
        if (entry.sequence > sequence) waiting.set(entry.sequence, entry);
      }
      for (
        let next = waiting.get(sequence + 1);
        next !== undefined;
        next = waiting.get(sequence + 1)
      ) {
        waiting.delete(next.sequence);
        applyOne(next);
      }
      if (sequence > before) view = null;
      return sequence > before;
    },
    applySnapshot(snapshot) {
      if (snapshot.sequence <= sequence) return false;
      documents.clear();
      records.clear();
      snapshot.documents.forEach(setDocument);
      halfMoves.replace(snapshot.halfMoves ?? []);
      sequence = snapshot.sequence;
      recent = [];
      view = null;
      dropWaitingUpToSequence();
      this.applyEntries([]);
      return true;
    },
    getSince(after) {
      if (after >= sequence) return null;
      const oldest = recent[0]?.sequence ?? sequence + 1;
      if (after + 1 < oldest) return this.getSnapshot();
      const entries = recent.filter((entry) => entry.sequence > after);
      return {tag: 'configuration', entries};
    },
    getSnapshot: () => ({
      tag: 'configurationSnapshot',
      sequence,
      documents: [...documents.values()],
      halfMoves: halfMoves.getMoves(),
    }),
  };
}
