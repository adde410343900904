import {knownRecordFields} from 'hickorywharf-validation/knownRecordFields';
import type {Document} from './document.ts';

/** Fields that commands set; a declaration without them keeps them. */
const COMMAND_FIELDS: readonly string[] = ['draining'];

/**
 * Adds to a declared document the fields of the active one that commands set or
 * that this version does not know, so that an older program does not remove
 * what a newer one wrote. A declared field, also if null, takes precedence.
 *
 * @example
 *     keepUnknownFields(declared, {...declared, draining: true})['draining'];
 *     // true
 */
export function keepUnknownFields(
  declared: Document,
  active: Readonly<Record<string, unknown>> | undefined,
): Document {
  const known = new Set(knownRecordFields[declared.kind] ?? []);
  for (const field of COMMAND_FIELDS) known.delete(field);
  const kept = Object.entries(active ?? {}).filter(
    ([field]) => !known.has(field) && !Object.hasOwn(declared, field),
  );
  return kept.length === 0
    ? declared
    : {...declared, ...Object.fromEntries(kept)};
}
