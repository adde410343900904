import {isDeepStrictEqual} from 'node:util';
import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import type {Document} from './document.ts';
import {keepUnknownFields} from './keepUnknownFields.ts';

type Change = ConfigurationEntry['changes'][number];

/**
 * The changes that bring the documents in force to the declared ones. Records
 * in force that are not declared are deleted only with `prune`.
 *
 * @example
 *     planChanges(declared, inForce, {prune: false}).length;
 */
export function planChanges(
  declared: readonly Document[],
  inForce: readonly StoredDocument[],
  options: {readonly prune: boolean},
): Change[] {
  const current = new Map(
    inForce.map((stored) => [getDocumentKey(stored.kind, stored.name), stored]),
  );
  const changes: Change[] = [];
  for (const document of declared) {
    const {kind, name} = document;
    const key = getDocumentKey(kind, name);
    const known = current.get(key)?.document;
    current.delete(key);
    const wanted = keepUnknownFields(document, known);
    if (isDeepStrictEqual(known, wanted)) continue;
    changes.push({kind, name, document: wanted});
  }
  if (options.prune) {
    for (const {kind, name} of current.values()) {
      changes.push({kind, name, document: null});
    }
  }
  return changes;
}
