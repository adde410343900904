import {isDeepStrictEqual} from 'node:util';
import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import type {Document} from './document.ts';
import {keepUnknownFields} from './keepUnknownFields.ts';

type Change = ConfigurationEntry['changes'][number];

/**
 * Computes the changes that turn the active documents into the declared ones.
 * Active records that are not declared are deleted only with `prune`.
 *
 * @example
 *     planChanges(declared, active, {prune: false}).length; // 0: all active
 */
export function planChanges(
  declared: readonly Document[],
  active: readonly StoredDocument[],
  options: {readonly prune: boolean},
): Change[] {
  const current = new Map(
    active.map((stored) => [getDocumentKey(stored.kind, stored.name), stored]),
  );
  const changes: Change[] = [];
  for (const document of declared) {
    const {kind, name} = document;
    const key = getDocumentKey(kind, name);
    const activeDocument = current.get(key)?.document;
    current.delete(key);
    const wanted = keepUnknownFields(document, activeDocument);
    if (isDeepStrictEqual(activeDocument, wanted)) continue;
    changes.push({kind, name, document: wanted});
  }
  if (options.prune) {
    for (const {kind, name} of current.values()) {
      changes.push({kind, name, document: null});
    }
  }
  return changes;
}
