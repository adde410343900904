import {err, ok, type Result} from 'neverthrow';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import {loadSettings} from 'hickorywharf-validation/loadSettings';
import type {SettingsError} from 'hickorywharf-validation/settingsError';
import type * as z from 'zod';
import {roleSettings} from './roleSettings.ts';

type Roles = typeof roleSettings;

interface LoadRoleSettingsOptions<Role extends keyof Roles> {
  readonly role: Role;
  /** Path of the INI file, or null for none. */
  readonly file: string | null;
  /** The values of `--set`, each `section.key=value`. */
  readonly assignments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const ASSIGNMENT = /^([a-z]+\.[a-zA-Z]+)=(.*)$/s;

function readAssignments(
  assignments: readonly string[],
): Result<Record<string, string>, SettingsError> {
  const flags: Record<string, string> = {};
  for (const assignment of assignments) {
    const [, dottedKey, value] = ASSIGNMENT.exec(assignment) ?? [];
    if (dottedKey === undefined || value === undefined) {
      const message = `'${assignment}' is not of the form section.key=value`;
      return err({file: '--set', section: '', key: '', message});
    }
    flags[dottedKey] = value;
  }
  return ok(flags);
}

function findUnknownName(
  role: keyof Roles,
  settings: unknown,
  file: string,
): SettingsError | null {
  const sections = settings as Record<string, Record<string, string>>;
  for (const {section, key, allowedNames} of roleSettings[role].nameSettings) {
    const value = sections[section]![key]!;
    if (allowedNames.includes(value)) continue;
    const nearest = getNearestName(value, allowedNames);
    const hint = nearest === null ? '.' : `; did you mean '${nearest}'?`;
    const message = `'${value}' is not known${hint} Allowed: ${allowedNames.join(', ')}`;
    return {file, section, key, message};
  }
  return null;
}

/**
 * Loads and validates the settings of a role. Environment variables override
 * the file, and flags override both. Every command that reads settings uses
 * this function.
 *
 * @example
 *     const {env: environment} = process;
 *     loadRoleSettings({role: 'entry', file, assignments: [], environment});
 */
export function loadRoleSettings<Role extends keyof Roles>(
  options: LoadRoleSettingsOptions<Role>,
): Result<z.infer<Roles[Role]['schema']>, SettingsError> {
  const {role, file, assignments, environment} = options;
  const flags = readAssignments(assignments);
  if (flags.isErr()) return err(flags.error);
  const {schema} = roleSettings[role];
  const sources = {file, environment, flags: flags.value};
  const loaded = loadSettings<z.ZodObject>(schema, sources);
  if (loaded.isErr()) return err(loaded.error);
  const nameError = findUnknownName(role, loaded.value, file ?? 'settings');
  if (nameError !== null) return err(nameError);
  return ok(loaded.value as z.infer<Roles[Role]['schema']>);
}
