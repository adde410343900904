import {getDocumentKey} from 'hickorywharf-decisions/configuration/getDocumentKey';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {splitAssignment} from 'hickorywharf-validation/splitAssignment';
import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import type {Document} from './document.ts';

type Assignment = z.infer<typeof splitAssignment>;

/** The first schema version with halves. */
const HALVES_SCHEMA_VERSION = 2;

function listAssigned({halves}: Assignment): [key: string, half: string][] {
  return Object.entries(halves).flatMap(([half, names]) => [
    ...names.endpoints.map((name) => [`endpoint/${name}`, half]),
    ...names.accounts.map((name) => [`account/${name}`, half]),
    ...names.routes.map((name) => [`route/${name}`, half]),
  ]) as [string, string][];
}

/**
 * Assigns each declared record to its half, with the first schema version that
 * has halves at least. Records that the assignment does not name stay
 * unchanged.
 *
 * @returns the documents, or a message that says why the assignment is invalid
 * @example
 *     assignHalves(documents, {halves: {labs: {endpoints: ['engine-1'],
 *       accounts: [], routes: []}}}); // engine-1 has the half 'labs'
 */
export function assignHalves(
  documents: readonly Document[],
  assignment: Assignment,
): Result<Document[], string> {
  const known = new Set(
    documents.map(({kind, name}) => getDocumentKey(kind, name)),
  );
  const halves = new Map<string, string>();
  for (const [key, half] of listAssigned(assignment)) {
    if (!known.has(key)) {
      const nearest = getNearestName(key, known);
      const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
      return err(`halves.${half}: no record '${key}' is declared${hint}`);
    }
    const other = halves.get(key);
    if (other !== undefined) {
      return err(
        `halves.${half}: '${key}' is already assigned to half ${other}`,
      );
    }
    halves.set(key, half);
  }
  return ok(
    documents.map((document) => {
      const half = halves.get(getDocumentKey(document.kind, document.name));
      if (half === undefined) return document;
      const version = Number(document['schemaVersion']);
      const schemaVersion = Math.max(version, HALVES_SCHEMA_VERSION);
      return {...document, schemaVersion, half};
    }),
  );
}
