import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

type Change = ConfigurationEntry['changes'][number];
type Document = Readonly<Record<string, unknown>> & {
  readonly kind: string;
  readonly name: string;
};

/** A document as the configuration log keeps it. */
interface StoredDocument {
  readonly kind: string;
  readonly name: string;
  readonly document: Readonly<Record<string, unknown>>;
}

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
    inForce.map((stored) => [`${stored.kind}/${stored.name}`, stored]),
  );
  const changes: Change[] = [];
  for (const document of declared) {
    const {kind, name} = document;
    const known = current.get(`${kind}/${name}`);
    current.delete(`${kind}/${name}`);
    if (isDeepStrictEqual(known?.document, document)) continue;
    changes.push({kind, name, document});
  }
  if (options.prune) {
    for (const {kind, name} of current.values()) {
      changes.push({kind, name, document: null});
    }
  }
  return changes;
}
