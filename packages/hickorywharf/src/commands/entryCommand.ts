import {runEntry} from 'hickorywharf-entry/runEntry';
import {createLogger} from 'hickorywharf-logger/createLogger';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {entrySettings} from 'hickorywharf-validation/entrySettings';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {loadRoleSettings} from '../loadRoleSettings.ts';
import {runRole} from '../runRole.ts';

/** `hickorywharf entry`: runs an entry, which takes callers' requests. */
export const entryCommand: Command = {
  summary: "runs an entry, which takes callers' requests",
  positionals: [],
  options: {
    settings: {type: 'string'},
    set: {type: 'string', multiple: true},
  },
  optionHelp: {
    settings: 'INI file with the settings',
    set: 'section.key=value, over the file; may be repeated',
  },
  async run({values}) {
    const settings = loadRoleSettings({
      schema: entrySettings,
      file: (values['settings'] as string | undefined) ?? null,
      assignments: (values['set'] as string[] | undefined) ?? [],
    });
    if (settings === null) return exitCodes.usage;
    const {name} = settings.process;
    const clock = createSystemClock();
    const logger = createLogger({name, level: settings.logs.level});
    const {file} = settings.history;
    const history = createHistoryRecorder({process: name, file, clock});
    return runRole({
      logger,
      history,
      name,
      role: 'entry',
      async start() {
        const role = await runEntry({
          settings,
          logger,
          history,
          clock,
          random: Math.random,
        });
        logger.info({port: role.port}, 'listening');
        return role;
      },
    });
  },
};
