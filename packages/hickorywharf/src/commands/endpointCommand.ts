import {runEndpoint} from 'hickorywharf-endpoint/runEndpoint';
import {createLogger} from 'hickorywharf-logger/createLogger';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {loadRoleSettings} from '../loadRoleSettings.ts';
import {runRole} from '../runRole.ts';

/** `hickorywharf endpoint`: runs the process beside an endpoint. */
export const endpointCommand: Command = {
  summary: 'runs the process beside an endpoint',
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
      schema: endpointSettings,
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
      role: 'endpoint',
      async start() {
        const role = await runEndpoint({
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
