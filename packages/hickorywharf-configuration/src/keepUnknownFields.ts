import {knownRecordFields} from 'hickorywharf-validation/knownRecordFields';
import type {Document} from './document.ts';

/** Fields that commands set: a declaration that is silent keeps them. */
const COMMANDED_FIELDS: readonly string[] = ['draining'];

/**
 * A declared document with the fields of the one in force that this version
 * does not know, so that an older program does not strip what a newer one
 * wrote. A field that is declared, also as null, is the operator's.
 *
 * @example
 *     keepUnknownFields(declared, inForce);
 */
export function keepUnknownFields(
  declared: Document,
  inForce: Readonly<Record<string, unknown>> | undefined,
): Document {
  const known = new Set(knownRecordFields[declared.kind] ?? []);
  for (const field of COMMANDED_FIELDS) known.delete(field);
  const kept = Object.entries(inForce ?? {}).filter(
    ([field]) => !known.has(field) && !Object.hasOwn(declared, field),
  );
  return kept.length === 0
    ? declared
    : {...declared, ...Object.fromEntries(kept)};
}
