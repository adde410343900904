import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/**
 * The records, among those that a change is about to write, that were changed
 * or deleted after a sequence.
 *
 * @example
 *     findConflictingRecords(log.getSnapshot(), changes, 41); // ['route/catalogue']
 */
export function findConflictingRecords(
  snapshot: Snapshot,
  changes: ConfigurationEntry['changes'],
  base: number,
): string[] {
  const wanted = new Set(
    changes.map(({kind, name}) => getDocumentKey(kind, name)),
  );
  return [...snapshot.documents, ...(snapshot.deletions ?? [])]
    .filter(({sequence}) => sequence > base)
    .map(({kind, name}) => getDocumentKey(kind, name))
    .filter((key) => wanted.has(key))
    .sort();
}
