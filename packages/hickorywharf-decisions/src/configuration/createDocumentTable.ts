import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {StoredDeletion} from 'hickorywharf-types/storedDeletion';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import {getDocumentKey} from './getDocumentKey.ts';

type Document = StoredDocument['document'];

interface DocumentTable {
  applyEntry(entry: ConfigurationEntry): void;
  replace(
    documents: readonly StoredDocument[],
    deletions: readonly StoredDeletion[],
  ): void;
  getDocuments(): StoredDocument[];
  getDeletions(): StoredDeletion[];
  /** Takes the key that `getDocumentKey` returns. */
  getRecord(key: string): ConfigurationRecord | undefined;
  /** The records that this version of the program can read. */
  getRecords(): Iterable<ConfigurationRecord>;
}

/**
 * Tombstones retained; the oldest is dropped first. Without its tombstone, a
 * deleted document cannot be distinguished from one that never existed.
 */
const MAXIMUM_DELETIONS = 2000;

function getSchemaVersion(document: Document): number {
  const version = document['schemaVersion'];
  return typeof version === 'number' ? version : 0;
}

/**
 * Returns the newest document of each older schema version. A process that
 * cannot read the newest document falls back to these, so that it has the same
 * record whether it received log entries or a snapshot.
 */
function getEarlier(
  document: Document,
  previous: StoredDocument | undefined,
): readonly Document[] {
  if (previous === undefined) return [];
  const version = getSchemaVersion(document);
  return [previous.document, ...(previous.earlier ?? [])].filter(
    (candidate) => getSchemaVersion(candidate) < version,
  );
}

function findReadable(stored: StoredDocument): ConfigurationRecord | null {
  for (const document of [stored.document, ...(stored.earlier ?? [])]) {
    const record = normalizeRecord(document);
    if (record.isOk()) return record.value;
  }
  return null;
}

/**
 * Creates a table of the configuration documents, their tombstones and the
 * records parsed from the documents.
 *
 * @example
 *     const table = createDocumentTable();
 *     table.applyEntry({sequence: 1, operation: 'a', changes: []});
 */
export function createDocumentTable(): DocumentTable {
  const documents = new Map<string, StoredDocument>();
  const records = new Map<string, ConfigurationRecord>();
  const deletions = new Map<string, StoredDeletion>();

  function insert(stored: StoredDocument): void {
    const key = getDocumentKey(stored.kind, stored.name);
    documents.set(key, stored);
    deletions.delete(key);
    const record = findReadable(stored);
    if (record === null) records.delete(key);
    else records.set(key, record);
  }

  function remove(deletion: StoredDeletion): void {
    const key = getDocumentKey(deletion.kind, deletion.name);
    documents.delete(key);
    records.delete(key);
    deletions.delete(key);
    deletions.set(key, deletion);
    if (deletions.size <= MAXIMUM_DELETIONS) return;
    const [oldest] = deletions.keys();
    deletions.delete(oldest!);
  }

  return {
    applyEntry({sequence, changes}) {
      for (const {kind, name, document} of changes) {
        if (document === null) {
          remove({kind, name, sequence});
          continue;
        }
        const previous = documents.get(getDocumentKey(kind, name));
        const earlier = getEarlier(document, previous);
        const stored = {kind, name, sequence, document};
        insert(earlier.length === 0 ? stored : {...stored, earlier});
      }
    },
    replace(storedDocuments, storedDeletions) {
      documents.clear();
      records.clear();
      deletions.clear();
      storedDocuments.forEach(insert);
      storedDeletions.forEach(remove);
    },
    getDocuments: () => [...documents.values()],
    getDeletions: () => [...deletions.values()],
    getRecord: (key) => records.get(key),
    getRecords: () => records.values(),
  };
}
