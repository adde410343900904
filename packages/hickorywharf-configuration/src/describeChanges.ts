import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import {isDeepStrictEqual} from 'node:util';

type Document = StoredDocument['document'];

const ABSENT = '(none)';

function format(value: unknown): string {
  return value === undefined ? ABSENT : JSON.stringify(value);
}

function describeFields(before: Document, after: Document): string[] {
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...fields]
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map(
      (field) =>
        `    ${field}: ${format(before[field])} -> ${format(after[field])}`,
    );
}

/**
 * Describes changes as a readable diff: a line for each record, marked `+` if
 * it is added, `~` if changed and `-` if deleted. The document of an added
 * record and the changed fields of a changed one follow below it.
 *
 * @example
 *     describeChanges(changes, log.getSnapshot().documents);
 *     // ['~ route/lend', '    pipeline: "lend" -> "lend-2"']
 */
export function describeChanges(
  changes: ConfigurationEntry['changes'],
  active: readonly StoredDocument[],
): string[] {
  const current = new Map(
    active.map((stored) => [
      getDocumentKey(stored.kind, stored.name),
      stored.document,
    ]),
  );
  return changes.flatMap(({kind, name, document}) => {
    const key = getDocumentKey(kind, name);
    const before = current.get(key);
    if (document === null) return [`- ${key}`];
    if (before === undefined) return [`+ ${key}`, `    ${format(document)}`];
    return [`~ ${key}`, ...describeFields(before, document)];
  });
}
