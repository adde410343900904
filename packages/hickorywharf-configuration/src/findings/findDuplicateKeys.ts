import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

/**
 * Finds client accounts with the same API key: a request with it could belong
 * to either account.
 *
 * @example
 *     findDuplicateKeys(input)[0]?.record; // 'account/portal'
 */
export function findDuplicateKeys({documentsAfter}: FindingInput): Finding[] {
  const owners = new Map<unknown, string>();
  const findings: Finding[] = [];
  for (const {kind, name, document} of documentsAfter) {
    if (kind !== 'account') continue;
    const owner = owners.get(document['keyHash']);
    owners.set(document['keyHash'], name);
    if (owner === undefined) continue;
    findings.push({
      severity: 'error',
      record: `account/${name}`,
      message: `keyHash: account '${owner}' has the same key`,
    });
  }
  return findings;
}
