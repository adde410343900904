interface CallForecast {
  /** Time to the first event of the call if only timely work goes first. */
  readonly timelyMilliseconds: number;
  /** The same if everything that is waiting goes first. */
  readonly totalMilliseconds: number;
}

interface AdmissionInput {
  readonly forecast: CallForecast;
  readonly targetLeftMilliseconds: number;
  readonly timeLeftMilliseconds: number;
}

type Admission =
  | {readonly tag: 'timely' | 'late'}
  | {readonly tag: 'refused'; readonly retryAfterMilliseconds: number};

/** Late calls need the rest of their time as reserve: timely work is first. */
const LATE_SHARE = 0.7;

/**
 * Decides whether to admit a call: as timely if it can meet its target, or else
 * as late if it can be served before its deadline behind all waiting work. A
 * refused caller gets the time after which the call would be admitted if no
 * other call arrived.
 *
 * Load pattern: bursts after which the backlog would outlast the callers'
 * timeouts.
 *
 * @example
 *     decideAdmission({
 *       forecast,
 *       targetLeftMilliseconds: 900,
 *       timeLeftMilliseconds: 5900,
 *     });
 */
export function decideAdmission(input: AdmissionInput): Admission {
  const {forecast, targetLeftMilliseconds, timeLeftMilliseconds} = input;
  if (forecast.timelyMilliseconds <= targetLeftMilliseconds) {
    return {tag: 'timely'};
  }
  if (forecast.totalMilliseconds <= timeLeftMilliseconds * LATE_SHARE) {
    return {tag: 'late'};
  }
  // While the caller waits, the backlog shrinks, and so does the time left.
  const excess = forecast.totalMilliseconds - timeLeftMilliseconds * LATE_SHARE;
  return {tag: 'refused', retryAfterMilliseconds: excess / (1 - LATE_SHARE)};
}
