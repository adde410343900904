import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';

type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/**
 * Finds the records of a change that were already changed or deleted after a
 * sequence.
 *
 * @returns their keys, as `kind/name`, sorted
 * @example
 *     // ['route/catalogue']
 *     findConflictingRecords(log.getSnapshot(), changes, 41);
 */
export function findConflictingRecords(
  snapshot: Snapshot,
  changes: ConfigurationEntry['changes'],
  base: number,
): string[] {
  const changedKeys = new Set(
    changes.map(({kind, name}) => getDocumentKey(kind, name)),
  );
  return [...snapshot.documents, ...(snapshot.deletions ?? [])]
    .filter(({sequence}) => sequence > base)
    .map(({kind, name}) => getDocumentKey(kind, name))
    .filter((key) => changedKeys.has(key))
    .sort();
}
