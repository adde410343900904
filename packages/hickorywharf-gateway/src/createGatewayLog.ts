import {createLogger} from 'hickorywharf-logger/createLogger';
import type {GatewayLog} from './gatewayLog.ts';

/** The most rate-limited lines in one second. */
const MAXIMUM_LINES_PER_SECOND = 60;

/**
 * Creates the log of an instance. Lines about requests are limited per second;
 * the next such line that is written has the number of dropped lines as its
 * field `leftOut`.
 *
 * @param now monotonic milliseconds
 * @param stream destination of the lines; standard output by default
 * @param onDropped called for each dropped line
 * @example
 *     const log = createGatewayLog('front-1', () => clock.monotonic());
 *     log.infoAlways('started', {step: 'start'});
 */
export function createGatewayLog(
  name: string,
  now: () => number,
  stream: NodeJS.WritableStream = process.stdout,
  onDropped: () => void = () => undefined,
): GatewayLog {
  const logger = createLogger({name, level: 'info', stream});
  let second = 0;
  let written = 0;
  let leftOut = 0;
  return {
    infoRateLimited(message, fields) {
      const current = Math.floor(now() / 1000);
      if (current !== second) [second, written] = [current, 0];
      if (written >= MAXIMUM_LINES_PER_SECOND) {
        leftOut += 1;
        onDropped();
        return;
      }
      written += 1;
      logger.info(leftOut > 0 ? {...fields, leftOut} : fields, message);
      leftOut = 0;
    },
    infoAlways: (message, fields) => logger.info(fields, message),
  };
}
