import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';
import {findUnservedStages} from './findUnservedStages.ts';
import {findMovedHomes} from './findMovedHomes.ts';
import {findMissingReferences} from './findMissingReferences.ts';
import {findDuplicateKeys} from './findDuplicateKeys.ts';
import {findVersionProblems} from './findVersionProblems.ts';

type ConfigurationLog = Pick<
  ReturnType<typeof createConfigurationLog>,
  'getView' | 'getSnapshot'
>;

const CHECKS: readonly ((input: FindingInput) => Finding[])[] = [
  findMissingReferences,
  findDuplicateKeys,
  findUnservedStages,
  findMovedHomes,
  findVersionProblems,
];

/**
 * Finds the problems that the configuration would have after a change, so that
 * the operator sees them before the change is made.
 *
 * @example
 *     // ['error']
 *     checkChange(log, logWithChange).map(({severity}) => severity);
 */
export function checkChange(
  before: ConfigurationLog,
  after: ConfigurationLog,
): Finding[] {
  const input: FindingInput = {
    before: before.getView(),
    after: after.getView(),
    documentsBefore: before.getSnapshot().documents,
    documentsAfter: after.getSnapshot().documents,
  };
  return CHECKS.flatMap((check) => check(input));
}
