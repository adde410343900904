import type bunyan from 'bunyan';
import {createLogger} from 'hickorywharf-logger/createLogger';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {Clock} from 'hickorywharf-utils/clock';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import type * as z from 'zod';
import type {Command} from './command.ts';
import {exitCodes} from './exitCodes.ts';
import {loadRoleSettings} from './loadRoleSettings.ts';
import {reportSettingsError} from './reportSettingsError.ts';
import type {roleSettings} from './roleSettings.ts';
import {runRole} from './runRole.ts';
import {startTelemetry} from './startTelemetry.ts';

/** The roles that have a command; `platform/bin` starts the gateway. */
type RoleName = Exclude<keyof typeof roleSettings, 'gateway'>;
type Settings<Role extends RoleName> = z.infer<
  (typeof roleSettings)[Role]['schema']
>;

/** What the start function of a role receives. */
interface RoleContext<Role extends RoleName> {
  readonly settings: Settings<Role>;
  readonly logger: bunyan;
  readonly history: HistoryRecorder;
  readonly clock: Clock;
  readonly random: () => number;
  readonly telemetry: Omit<
    Awaited<ReturnType<typeof startTelemetry>>,
    'close'
  > & {readonly clock: Clock};
}

interface RoleCommandOptions<Role extends RoleName> {
  readonly role: Role;
  readonly summary: string;
  readonly start: (
    context: RoleContext<Role>,
  ) => Promise<{readonly port: number; stop(): Promise<void>}>;
}

/**
 * Creates the command that runs a role until SIGTERM or SIGINT. The command
 * prints an error in the settings and returns the exit code of a usage error.
 *
 * @example
 *     createRoleCommand({role: 'entry', summary: 'runs an entry', start});
 */
export function createRoleCommand<Role extends RoleName>(
  options: RoleCommandOptions<Role>,
): Command {
  const {role, summary, start} = options;

  function run(settings: Settings<Role>): Promise<number> {
    const {name} = settings.process;
    const clock = createSystemClock();
    const logger = createLogger({name, level: settings.logs.level});
    const {file} = settings.history;
    const history = createHistoryRecorder({process: name, file, clock});

    async function startRole() {
      const {close, ...telemetry} = await startTelemetry(settings, role);
      const running = await start({
        settings,
        logger,
        history,
        clock,
        random: Math.random,
        telemetry: {...telemetry, clock},
      });
      logger.info({port: running.port}, 'listening');
      return {
        async stop() {
          await running.stop();
          await close();
        },
      };
    }
    return runRole({logger, history, name, role, start: startRole});
  }

  return {
    summary,
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
        role,
        file: (values['settings'] as string | undefined) ?? null,
        assignments: (values['set'] as string[] | undefined) ?? [],
        environment: process.env,
      });
      if (loaded.isOk()) return run(loaded.value);
      reportSettingsError(loaded.error);
      return exitCodes.usage;
    },
  };
}
