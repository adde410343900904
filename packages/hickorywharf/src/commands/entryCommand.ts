import {createEntryTelemetry} from 'hickorywharf-entry/createEntryTelemetry';
import {runEntry} from 'hickorywharf-entry/runEntry';
import {createLogger} from 'hickorywharf-logger/createLogger';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import type {Command} from '../command.ts';
import {startTelemetry} from '../startTelemetry.ts';
import {exitCodes} from '../exitCodes.ts';
import {loadRoleSettings} from '../loadRoleSettings.ts';
import {reportSettingsError} from '../reportSettingsError.ts';
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
    const loaded = loadRoleSettings({
      role: 'entry',
      file: (values['settings'] as string | undefined) ?? null,
      assignments: (values['set'] as string[] | undefined) ?? [],
      environment: process.env,
    });
    if (loaded.isErr()) {
      reportSettingsError(loaded.error);
      return exitCodes.usage;
    }
    const settings = loaded.value;
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
        const {metrics, tracer, close} = await startTelemetry(
          settings,
          'entry',
        );
        const role = await runEntry({
          settings,
          logger,
          history,
          clock,
          random: Math.random,
          telemetry: createEntryTelemetry({metrics, tracer, clock}),
        });
        logger.info({port: role.port}, 'listening');
        return {
          async stop() {
            await role.stop();
            await close();
          },
        };
      },
    });
  },
};
