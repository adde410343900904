import {readFileSync} from 'node:fs';
import ini from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type * as z from 'zod';
import type {SettingsError} from './settingsError.ts';

const MAXIMUM_FILE_BYTES = 256 * 1024;
const ENVIRONMENT_PREFIX = 'HICKORYWHARF_';
const DECIMAL = /^[+-]?\d+(?:\.\d+)?(?:e[+-]?\d+)?$/i;

type Sections = Record<string, Record<string, unknown>>;

/** The sources of a role's settings, in ascending order of precedence. */
interface SettingsSources {
  /** Path of an INI file, or null for none. */
  readonly file: string | null;
  /** Variables by name; `HICKORYWHARF_HTTP_PORT` sets `http.port`. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Values from the command line, by `section.key`. */
  readonly flags: Readonly<Record<string, string>>;
}

function setValue(sections: Sections, dottedKey: string, value: string): void {
  const [section = '', key = ''] = dottedKey.split('.');
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

function describeIssue(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === 'invalid_type' && issue.input === undefined;
  return isMissing ? `is missing; ${issue.message}` : issue.message;
}

function toSettingsError(
  file: string,
  issue: z.core.$ZodIssue,
  schema: z.ZodObject,
): SettingsError {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return {file, section, key, message: describeIssue(issue)};
  }
  const unknown = issue.keys[0] ?? '';
  const inner = schema.shape[section] as unknown as z.ZodObject | undefined;
  const known = Object.keys(section === '' ? schema.shape : inner!.shape);
  const nearest = getNearestName(unknown, known);
  const hint = nearest === null ? '.' : `; did you mean '${nearest}'?`;
  const message = `is not known${hint} Allowed: ${known.join(', ')}`;
  return section === ''
    ? {file, section: unknown, key: '', message}
    : {file, section, key: unknown, message};
}

/** Why a value is no decimal number; null if it is one. */
function findNumberFault(value: unknown): string | null {
  if (value === '') return 'is empty; leave the line out for the default';
  const isDecimal = DECIMAL.test(String(value).trim());
  return isDecimal ? null : 'must be a decimal number';
}

/**
 * Finds a value that coercion would read as another number: an empty one or
 * `false` as 0, `true` as 1.
 */
function findCoercedNumber(
  sections: Sections,
  parsed: Sections,
): Omit<SettingsError, 'file'> | null {
  for (const [section, values] of Object.entries(sections)) {
    for (const [key, value] of Object.entries(Object(values))) {
      if (typeof parsed[section]?.[key] !== 'number') continue;
      const message = findNumberFault(value);
      if (message !== null) return {section, key, message};
    }
  }
  return null;
}

/** Names the variable or flag instead of the file where it set the value. */
function locateOrigin(
  error: SettingsError,
  origins: ReadonlyMap<string, string>,
): SettingsError {
  const {section, key} = error;
  const isOriginOf = (dottedKey: string) =>
    dottedKey === `${section}.${key}` ||
    (key === '' && dottedKey.startsWith(`${section}.`));
  const origin = [...origins.keys()].find(isOriginOf);
  return origin === undefined ? error : {...error, file: origins.get(origin)!};
}

/**
 * Reads settings from an INI file, the environment and flags, each of which
 * overrides those before it, and validates them against a role's schema of
 * sections. An error is the first one found; it names file, section and key.
 *
 * @example
 *     const sources = {file: 'entry.ini', environment: {}, flags: {}};
 *     loadSettings(entrySettings, sources);
 */
export function loadSettings<Schema extends z.ZodObject>(
  schema: Schema,
  sources: SettingsSources,
): Result<z.infer<Schema>, SettingsError> {
  const file = sources.file ?? 'settings';
  const read = sources.file === null ? ok({}) : readSections(sources.file);
  if (read.isErr()) return err(read.error);
  const sections: Sections = Object.assign({}, read.value);
  const origins = new Map<string, string>();
  for (const [variable, value] of Object.entries(sources.environment)) {
    if (variable.startsWith(ENVIRONMENT_PREFIX) && value !== undefined) {
      const dottedKey = toDottedKey(variable);
      setValue(sections, dottedKey, value);
      origins.set(dottedKey, variable);
    }
  }
  for (const [dottedKey, value] of Object.entries(sources.flags)) {
    setValue(sections, dottedKey, value);
    origins.set(dottedKey, `--set ${dottedKey}`);
  }
  const parsed = schema.safeParse(sections, {reportInput: true});
  if (parsed.success) {
    const coerced = findCoercedNumber(sections, parsed.data as Sections);
    if (coerced === null) return ok(parsed.data);
    return err(locateOrigin({...coerced, file}, origins));
  }
  const error = toSettingsError(file, parsed.error.issues[0]!, schema);
  return err(locateOrigin(error, origins));
}
