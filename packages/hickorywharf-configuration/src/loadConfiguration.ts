import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {ResultAsync} from 'neverthrow';
import {configurationKeys} from './configurationKeys.ts';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;

/**
 * Reads the whole configuration from the store.
 *
 * @example
 *     await loadConfiguration(store);
 */
export function loadConfiguration(
  store: StoreClient,
): ResultAsync<ConfigurationLog, StoreError> {
  return store.list(configurationKeys.logPrefix).map((items) => {
    const log = createConfigurationLog();
    log.applyEntries(items.map(({value}) => value as ConfigurationEntry));
    return log;
  });
}
