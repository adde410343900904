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
    // Reading it as settings says what is wrong with the file.
    return [roleSettings.entry.ownSection];
  }
}

/** The role whose own section the file has, or null. */
function guessRole(file: string): Role | null {
  const sections = readSectionNames(file);
  const guessed = ROLES.filter((role) =>
    sections.includes(roleSettings[role].ownSection),
  );
  return guessed.length === 1 ? guessed[0]! : null;
}

function explainRole(file: string, role: string | undefined): string {
  if (role !== undefined) return `--role: allowed are ${ROLES.join(' and ')}`;
  const sections = ROLES.map(
    (name) => `[${roleSettings[name].ownSection}] for an ${name}`,
  );
  return `${file}: has not exactly one of ${sections.join(' and ')}; give --role`;
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
    const role = given ?? guessRole(file);
    if (role === null || !Object.hasOwn(roleSettings, role)) {
      console.error(`hickorywharf: ${explainRole(file, given)}`);
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
    console.log(`${file}: settings for role ${role}, all in order`);
    return exitCodes.succeeded;
  },
};
