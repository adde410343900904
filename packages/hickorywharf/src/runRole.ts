import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type bunyan from 'bunyan';
import {exitCodes} from './exitCodes.ts';

interface Role {
  stop(): Promise<void>;
}

interface RunRoleOptions {
  readonly logger: bunyan;
  readonly history: HistoryRecorder;
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly start: () => Promise<Role>;
}

/**
 * Runs a role until SIGTERM or SIGINT, then stops it and exits the process. A
 * second signal has no effect: it does not interrupt work that the first one
 * lets finish.
 *
 * @returns the exit code where the role could not be started; after a regular
 *   stop the process exits before this resolves
 * @example
 *     await runRole({logger, history, name, role: 'entry', start});
 */
export async function runRole(options: RunRoleOptions): Promise<number> {
  const {logger, history, name, role, start} = options;
  const {promise: stopRequested, resolve: requestStop} =
    Promise.withResolvers<void>();
  process.on('SIGTERM', () => requestStop());
  process.on('SIGINT', () => requestStop());
  history.record({tag: 'processStarted', name, role});
  let running: Role;
  try {
    running = await start();
  } catch (error) {
    logger.fatal({step: 'admit', peer: null}, (error as Error).message);
    return exitCodes.failed;
  }
  await stopRequested;
  logger.info('stopping');
  await running.stop();
  history.record({tag: 'processStopped', name, planned: true});
  history.close();
  // Without this, idle keep-alive connections keep the process running.
  process.exit(exitCodes.succeeded);
}
