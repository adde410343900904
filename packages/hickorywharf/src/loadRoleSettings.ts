import {loadSettings} from 'hickorywharf-validation/loadSettings';
import type {z} from 'zod';

interface LoadRoleSettingsOptions<Schema extends z.ZodObject> {
  readonly schema: Schema;
  /** Path of the INI file, or null. */
  readonly file: string | null;
  /** From `--set section.key=value`. */
  readonly assignments: readonly string[];
}

function toFlags(assignments: readonly string[]): Record<string, string> {
  const flags: Record<string, string> = {};
  for (const assignment of assignments) {
    const split = assignment.indexOf('=');
    flags[assignment.slice(0, split)] = assignment.slice(split + 1);
  }
  return flags;
}

/**
 * Loads the settings of a role, or prints what is wrong with them and gives
 * null.
 *
 * @example
 *     loadRoleSettings({schema: entrySettings, file: 'e.ini', assignments: []});
 */
export function loadRoleSettings<Schema extends z.ZodObject>(
  options: LoadRoleSettingsOptions<Schema>,
): z.infer<Schema> | null {
  const loaded = loadSettings(options.schema, {
    file: options.file,
    environment: process.env,
    flags: toFlags(options.assignments),
  });
  if (loaded.isOk()) return loaded.value;
  const {file, section, key, message} = loaded.error;
  console.error(`hickorywharf: ${file}: [${section}] ${key}: ${message}`);
  return null;
}
