import bunyan from 'bunyan';

interface LoggerOptions {
  /** Name of the process. */
  readonly name: string;
  readonly level: bunyan.LogLevelString;
  /** Stream that the lines are written to; standard error by default. */
  readonly stream?: NodeJS.WritableStream;
}

/** Fields that are on every line, so that lines can be filtered by them. */
const DEFAULT_FIELDS = {requestId: null, step: null, peer: null};

/**
 * Creates a structured logger that writes one JSON object a line. Every line
 * has the request, the step and the peer, null where there is none. Callers
 * must not log keys or bodies of requests.
 *
 * @example
 *     const logger = createLogger({name: 'entry-1', level: 'info'});
 *     logger.info({step: 'admit'}, 'accepted');
 */
export function createLogger(options: LoggerOptions): bunyan {
  const {name, level, stream = process.stderr} = options;
  return bunyan.createLogger({...DEFAULT_FIELDS, name, level, stream});
}
