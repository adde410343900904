import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import {isDeepStrictEqual} from 'node:util';

type Document = StoredDocument['document'];

const ABSENT = '(none)';

function show(value: unknown): string {
  return value === undefined ? ABSENT : JSON.stringify(value);
}

function describeFields(before: Document, after: Document): string[] {
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...fields]
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map(
      (field) =>
        `    ${field}: ${show(before[field])} -> ${show(after[field])}`,
    );
}

/**
 * A readable difference: a line for each record, `+` added, `~` changed, `-`
 * deleted, with the fields of a changed one below it.
 *
 * @example
 *     describeChanges(changes, log.getSnapshot().documents).join('\n');
 */
export function describeChanges(
  changes: ConfigurationEntry['changes'],
  inForce: readonly StoredDocument[],
): string[] {
  const current = new Map(
    inForce.map((stored) => [
      getDocumentKey(stored.kind, stored.name),
      stored.document,
    ]),
  );
  return changes.flatMap(({kind, name, document}) => {
    const key = getDocumentKey(kind, name);
    const before = current.get(key);
    if (document === null) return [`- ${key}`];
    if (before === undefined) return [`+ ${key}`, `    ${show(document)}`];
    return [`~ ${key}`, ...describeFields(before, document)];
  });
}
