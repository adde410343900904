import bunyan from 'bunyan';

interface LoggerOptions {
  /** The process that writes. */
  readonly name: string;
  readonly level: bunyan.LogLevelString;
}

/**
 * A structured log on standard error, one JSON object a line. Keys and bodies
 * of requests are never logged.
 *
 * @example
 *     createLogger({name: 'entry-1', level: 'info'}).info({step: 'admit'}, 'in');
 */
export function createLogger({name, level}: LoggerOptions): bunyan {
  return bunyan.createLogger({name, level, stream: process.stderr});
}
