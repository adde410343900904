import type {SettingsError} from 'hickorywharf-validation/settingsError';

/**
 * Prints a settings error to standard error: file, section, key and message.
 *
 * @example
 *     const place = {file: 'entry.ini', section: 'http', key: 'port'};
 *     reportSettingsError({...place, message: 'is missing'});
 */
export function reportSettingsError(error: SettingsError): void {
  const {file, section, key, message} = error;
  const location = section === '' ? '' : ` [${section}]`;
  const name = key === '' ? '' : ` ${key}`;
  console.error(`hickorywharf: ${file}:${location}${name}: ${message}`);
}
