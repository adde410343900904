import {createLogger} from 'hickorywharf-logger/createLogger';
import type {GatewayLog} from './gatewayLog.ts';

/** Lines about requests in one second; the rest is counted. */
const LINES_PER_SECOND = 60;

/**
 * The log of an instance on standard output. Lines about requests are bounded
 * for each second; how many were left out stands on the next line that is
 * written.
 *
 * @param now monotonic milliseconds
 * @param stream where the lines go
 * @param onLeftOut called for each line beyond the bound
 * @example
 *     const log = createGatewayLog('front-1', () => clock.monotonic());
 *     log.note('started', {step: 'start'});
 */
export function createGatewayLog(
  name: string,
  now: () => number,
  stream: NodeJS.WritableStream = process.stdout,
  onLeftOut: () => void = () => undefined,
): GatewayLog {
  const logger = createLogger({name, level: 'info', stream});
  let second = 0;
  let written = 0;
  let leftOut = 0;
  return {
    infoRateLimited(message, fields) {
      const current = Math.floor(now() / 1000);
      if (current !== second) [second, written] = [current, 0];
      if (written >= LINES_PER_SECOND) {
        leftOut += 1;
        onLeftOut();
        return;
      }
      written += 1;
      logger.info(leftOut > 0 ? {...fields, leftOut} : fields, message);
      leftOut = 0;
    },
    infoAlways: (message, fields) => logger.info(fields, message),
  };
}
