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
 * Runs a role until SIGTERM or SIGINT asks it to stop. A second signal does
 * not cut what the first one lets finish.
 *
 * @returns the exit code
 * @example
 *     await runRole({logger, history, name, role: 'entry', start});
 */
export async function runRole(options: RunRoleOptions): Promise<number> {
  const {logger, history, name, role, start} = options;
  const {promise: asked, resolve: onAsked} = Promise.withResolvers<void>();
  process.on('SIGTERM', () => onAsked());
  process.on('SIGINT', () => onAsked());
  history.record({tag: 'processStarted', name, role});
  let running: Role;
  try {
    running = await start();
  } catch (error) {
    logger.fatal({step: 'admit', peer: null}, (error as Error).message);
    return exitCodes.failed;
  }
  await asked;
  logger.info('stopping');
  await running.stop();
  history.record({tag: 'processStopped', name, planned: true});
  history.close();
  // Idle keep-alive connections would hold the process up for no request.
  process.exit(exitCodes.succeeded);
}
