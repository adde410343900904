import {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import {entrySettings} from 'hickorywharf-validation/entrySettings';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {loadRoleSettings} from '../loadRoleSettings.ts';

const SCHEMAS = {entry: entrySettings, endpoint: endpointSettings} as const;

/** `hickorywharf check-settings FILE`: validates a settings file. */
export const checkSettingsCommand: Command = {
  summary: 'validates a settings file of an entry or an endpoint process',
  positionals: ['FILE'],
  options: {role: {type: 'string', default: 'entry'}},
  optionHelp: {role: 'entry (default) or endpoint'},
  async run({values, positionals}) {
    const role = values['role'] as keyof typeof SCHEMAS;
    if (!Object.hasOwn(SCHEMAS, role)) {
      console.error("hickorywharf: --role: allowed are 'entry' and 'endpoint'");
      return exitCodes.usage;
    }
    const file = positionals[0]!;
    const schema = SCHEMAS[role];
    const settings = loadRoleSettings({schema, file, assignments: []});
    if (settings === null) return exitCodes.failed;
    console.log(`${file}: settings of an ${role}, all in order`);
    return exitCodes.succeeded;
  },
};
