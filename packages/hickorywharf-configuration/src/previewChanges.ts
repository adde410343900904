import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;

/**
 * A copy of a log as it would be after a change.
 *
 * @example
 *     previewChanges(log, changes).getView();
 */
export function previewChanges(
  log: Pick<ConfigurationLog, 'sequence' | 'getSnapshot'>,
  changes: ConfigurationEntry['changes'],
): ConfigurationLog {
  const copy = createConfigurationLog();
  if (log.sequence > 0) copy.applySnapshot(log.getSnapshot());
  const sequence = log.sequence + 1;
  copy.applyEntries([{sequence, operation: 'preview', changes}]);
  return copy;
}
