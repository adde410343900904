import {readFileSync} from 'node:fs';
import ini from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {z} from 'zod';
import type {SettingsError} from './settingsError.ts';

const MAXIMUM_FILE_BYTES = 256 * 1024;
const ENVIRONMENT_PREFIX = 'HICKORYWHARF_';

type Sections = Record<string, Record<string, unknown>>;

/** Where the values of a role's settings come from, weakest first. */
interface SettingsSources {
  readonly file: string | null;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** From flags, as `section.key`. */
  readonly flags: Readonly<Record<string, string>>;
}

function setValue(sections: Sections, dotted: string, value: string): void {
  const [section = '', key = ''] = dotted.split('.');
  sections[section] = {...sections[section], [key]: value};
}

function toDottedKey(variable: string): string {
  const [section = '', ...words] = variable
    .slice(ENVIRONMENT_PREFIX.length)
    .toLowerCase()
    .split('_');
  const key = words
    .map((word, index) =>
      index === 0 ? word : word.charAt(0).toUpperCase() + word.slice(1),
    )
    .join('');
  return `${section}.${key}`;
}

function readSections(file: string): Result<Sections, SettingsError> {
  const failed = (message: string) =>
    err({file, section: '', key: '', message});
  try {
    const text = readFileSync(file, 'utf8');
    if (text.length > MAXIMUM_FILE_BYTES) {
      return failed(`larger than ${MAXIMUM_FILE_BYTES} bytes`);
    }
    return ok(ini.parse(text) as Sections);
  } catch (error) {
    return failed(`cannot be read: ${(error as Error).message}`);
  }
}

function toSettingsError(
  file: string,
  issue: z.core.$ZodIssue,
  schema: z.ZodObject,
): SettingsError {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return {file, section, key, message: issue.message};
  }
  const unknown = issue.keys[0] ?? '';
  const inner = schema.shape[section] as unknown as z.ZodObject | undefined;
  const known = Object.keys(section === '' ? schema.shape : inner!.shape);
  const nearest = getNearestName(unknown, known);
  const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
  const message = `is not known${hint} Allowed: ${known.join(', ')}`;
  return section === ''
    ? {file, section: unknown, key: '', message}
    : {file, section, key: unknown, message};
}

/**
 * Reads settings from an INI file, then the environment, then flags, and
 * validates them against a role's schema of sections. Every error names file,
 * section and key.
 *
 * @example
 *     loadSettings(entrySettings, {file: 'entry.ini', environment: {}, flags: {}});
 */
export function loadSettings<Schema extends z.ZodObject>(
  schema: Schema,
  sources: SettingsSources,
): Result<z.infer<Schema>, SettingsError> {
  const file = sources.file ?? 'settings';
  const read = sources.file === null ? ok({}) : readSections(sources.file);
  if (read.isErr()) return err(read.error);
  const sections: Sections = Object.assign({}, read.value);
  for (const [variable, value] of Object.entries(sources.environment)) {
    if (variable.startsWith(ENVIRONMENT_PREFIX) && value !== undefined) {
      setValue(sections, toDottedKey(variable), value);
    }
  }
  for (const [dotted, value] of Object.entries(sources.flags)) {
    setValue(sections, dotted, value);
  }
  const parsed = schema.safeParse(sections);
  if (parsed.success) return ok(parsed.data);
  return err(toSettingsError(file, parsed.error.issues[0]!, schema));
}
