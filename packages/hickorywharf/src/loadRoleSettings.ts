import {err, ok, type Result} from 'neverthrow';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import {loadSettings} from 'hickorywharf-validation/loadSettings';
import type {SettingsError} from 'hickorywharf-validation/settingsError';
import type {z} from 'zod';
import {roleSettings} from './roleSettings.ts';

type Roles = typeof roleSettings;

interface LoadRoleSettingsOptions<Role extends keyof Roles> {
  readonly role: Role;
  /** Path of the INI file, or null. */
  readonly file: string | null;
  /** From `--set section.key=value`. */
  readonly assignments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const ASSIGNMENT = /^([a-z]+\.[a-zA-Z]+)=(.*)$/s;

function readAssignments(
  assignments: readonly string[],
): Result<Record<string, string>, SettingsError> {
  const flags: Record<string, string> = {};
  for (const assignment of assignments) {
    const [, dotted, value] = ASSIGNMENT.exec(assignment) ?? [];
    if (dotted === undefined || value === undefined) {
      const message = `'${assignment}' is not of the form section.key=value`;
      return err({file: '--set', section: '', key: '', message});
    }
    flags[dotted] = value;
  }
  return ok(flags);
}

function findWrongName(
  role: keyof Roles,
  settings: unknown,
  file: string,
): SettingsError | null {
  const sections = settings as Record<string, Record<string, string>>;
  for (const {section, key, names} of roleSettings[role].names) {
    const value = sections[section]![key]!;
    if (names.includes(value)) continue;
    const nearest = getNearestName(value, names);
    const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
    const message = `'${value}' is not known${hint} Allowed: ${names.join(', ')}`;
    return {file, section, key, message};
  }
  return null;
}

/**
 * Loads and checks the settings of a role, from a file, then the environment,
 * then flags. Every door of the program takes settings through here.
 *
 * @example
 *     loadRoleSettings({role: 'entry', file: 'e.ini', assignments: [], environment});
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
  const wrong = findWrongName(role, loaded.value, file ?? 'settings');
  if (wrong !== null) return err(wrong);
  return ok(loaded.value as z.infer<Roles[Role]['schema']>);
}
