import bunyan from 'bunyan';

interface LoggerOptions {
  /** The process that writes. */
  readonly name: string;
  readonly level: bunyan.LogLevelString;
  /** Where the lines go; standard error without it. */
  readonly stream?: NodeJS.WritableStream;
}

/** On every line, so that a reader can filter by them. */
const NO_ORIGIN = {requestId: null, step: null, peer: null};

/**
 * A structured log, one JSON object a line. Every line has the request, the
 * step and the peer, null where there is none. Keys and bodies of requests are
 * never logged.
 *
 * @example
 *     createLogger({name: 'entry-1', level: 'info'}).info({step: 'admit'}, 'in');
 */
export function createLogger(options: LoggerOptions): bunyan {
  const {name, level, stream = process.stderr} = options;
  return bunyan.createLogger({...NO_ORIGIN, name, level, stream});
}
