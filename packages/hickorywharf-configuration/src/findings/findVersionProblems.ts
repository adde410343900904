import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

/**
 * Records that this program cannot read, and records that a change takes back
 * to a schema version without halves.
 *
 * @example
 *     findVersionProblems(input);
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
        message: `${message}; processes of this version go on with the last one that they could read`,
      });
    }
    const half = previous.get(record)?.document['half'] ?? null;
    const isForgotten = half !== null && document['schemaVersion'] === 1;
    if (isForgotten && before.sequence > 0) {
      findings.push({
        severity: 'warning',
        record,
        message: `goes back to schemaVersion 1, which knows no halves: half ${String(half)} is forgotten`,
      });
    }
  }
  return findings;
}
