import {readFileSync} from 'node:fs';
import ini from 'ini';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {loadRoleSettings} from '../loadRoleSettings.ts';
import {reportSettingsError} from '../reportSettingsError.ts';
import {roleSettings} from '../roleSettings.ts';

type Role = keyof typeof roleSettings;

const ROLES = Object.keys(roleSettings) as Role[];

function readSectionNames(file: string): readonly string[] {
  try {
    return Object.keys(ini.parse(readFileSync(file, 'utf8')));
  } catch {
    // The role does not matter: loading the settings then reports why the file
    // cannot be read.
    return [roleSettings.entry.uniqueSection];
  }
}

/** The only role whose unique section is in the file, or null. */
function inferRole(file: string): Role | null {
  const sections = readSectionNames(file);
  const roles = ROLES.filter((role) =>
    sections.includes(roleSettings[role].uniqueSection),
  );
  return roles.length === 1 ? roles[0]! : null;
}

function describeRoleError(file: string, role: string | undefined): string {
  if (role !== undefined) return `--role: allowed are ${ROLES.join(', ')}`;
  const sections = ROLES.map(
    (name) => `[${roleSettings[name].uniqueSection}] (${name})`,
  );
  return `${file}: must have exactly one of ${sections.join(', ')}; else give --role`;
}

/** `hickorywharf check-settings FILE`: validates a settings file. */
export const checkSettingsCommand: Command = {
  summary: 'validates a settings file of an entry or an endpoint process',
  positionals: ['FILE'],
  options: {role: {type: 'string'}},
  optionHelp: {
    role: 'entry, endpoint or gateway; guessed from the sections without it',
  },
  async run({values, positionals}) {
    const file = positionals[0]!;
    const given = values['role'] as string | undefined;
    const role = given ?? inferRole(file);
    if (role === null || !Object.hasOwn(roleSettings, role)) {
      console.error(`hickorywharf: ${describeRoleError(file, given)}`);
      return exitCodes.usage;
    }
    const loaded = loadRoleSettings({
      role: role as Role,
      file,
      assignments: [],
      environment: {},
    });
    if (loaded.isErr()) {
      reportSettingsError(loaded.error);
      return exitCodes.failed;
    }
    console.log(`${file}: settings for role ${role} are valid`);
    return exitCodes.succeeded;
  },
};
