import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';

/**
 * Finds the documents that this version of the program cannot read.
 *
 * @returns their keys, as `kind/name`
 * @example
 *     // ['route/catalogue']
 *     findUnreadableDocuments(log.getSnapshot().documents);
 */
export function findUnreadableDocuments(
  documents: readonly StoredDocument[],
): string[] {
  return documents
    .filter(({document}) => normalizeRecord(document).isErr())
    .map(({kind, name}) => getDocumentKey(kind, name));
}
