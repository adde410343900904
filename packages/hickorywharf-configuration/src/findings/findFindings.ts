import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';
import {findLostStages} from './findLostStages.ts';
import {findMovedHomes} from './findMovedHomes.ts';
import {findReferences} from './findReferences.ts';
import {findSharedKeys} from './findSharedKeys.ts';
import {findVersions} from './findVersions.ts';

type ConfigurationLog = Pick<
  ReturnType<typeof createConfigurationLog>,
  'getView' | 'getSnapshot'
>;

const FINDERS: readonly ((input: FindingInput) => Finding[])[] = [
  findReferences,
  findSharedKeys,
  findLostStages,
  findMovedHomes,
  findVersions,
];

/**
 * What an operator should know before a change is made.
 *
 * @example
 *     findFindings(log, logWithChange);
 */
export function findFindings(
  before: ConfigurationLog,
  after: ConfigurationLog,
): Finding[] {
  const input: FindingInput = {
    before: before.getView(),
    after: after.getView(),
    documentsBefore: before.getSnapshot().documents,
    documentsAfter: after.getSnapshot().documents,
  };
  return FINDERS.flatMap((find) => find(input));
}
