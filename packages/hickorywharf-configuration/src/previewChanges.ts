import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;

/**
 * Returns a copy of a log with a change applied to it.
 *
 * @example
 *     previewChanges(log, changes).sequence; // log.sequence + 1
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
