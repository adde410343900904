import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

/**
 * Finds records that this version of the program cannot read, and records that
 * lose their half because a change uses a schema version without halves.
 *
 * @example
 *     findVersionProblems(input)[0]?.record; // 'endpoint/desk-1'
 */
export function findVersionProblems(input: FindingInput): Finding[] {
  const {documentsBefore, documentsAfter, before} = input;
  const previous = new Map(
    documentsBefore.map((stored) => [`${stored.kind}/${stored.name}`, stored]),
  );
  const findings: Finding[] = [];
  for (const {kind, name, document} of documentsAfter) {
    const record = `${kind}/${name}`;
    const normalized = normalizeRecord(document);
    if (normalized.isErr()) {
      const {message} = normalized.error;
      findings.push({
        severity: 'warning',
        record,
        message: `${message}; processes of this version keep the last document that they could read`,
      });
    }
    const half = previous.get(record)?.document['half'] ?? null;
    const isHalfLost = half !== null && document['schemaVersion'] === 1;
    if (isHalfLost && before.sequence > 0) {
      findings.push({
        severity: 'warning',
        record,
        message: `returns to schemaVersion 1, which has no halves: the assignment to half ${String(half)} is lost`,
      });
    }
  }
  return findings;
}
