import type {SettingsError} from 'hickorywharf-validation/settingsError';

/**
 * Prints what is wrong with the settings: where it stands and what is allowed.
 *
 * @example
 *     reportSettingsError({file: 'e.ini', section: 'http', key: 'port', message});
 */
export function reportSettingsError(error: SettingsError): void {
  const {file, section, key, message} = error;
  const place = section === '' ? '' : ` [${section}]`;
  const name = key === '' ? '' : ` ${key}`;
  console.error(`hickorywharf: ${file}:${place}${name}: ${message}`);
}
