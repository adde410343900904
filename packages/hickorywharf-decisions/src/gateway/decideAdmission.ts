interface StageForecast {
  /** Wait and work of a timely call at each of its stages, one after another. */
  readonly timelyMilliseconds: number;
  /** The same behind all that waits. */
  readonly totalMilliseconds: number;
}

interface AdmissionInput {
  readonly forecast: StageForecast;
  readonly targetLeftMilliseconds: number;
  readonly timeLeftMilliseconds: number;
}

type Admission =
  | {readonly tag: 'timely' | 'late'}
  | {readonly tag: 'refused'; readonly retryAfterMilliseconds: number};

/** Late work is taken only well within its time: timely work goes first. */
const LATE_SHARE = 0.7;

/**
 * Whether a call is taken at the door: if it can be in time, or else if it can
 * be served at all behind what waits. A refused caller is asked to come back
 * when it would be taken if nobody else came.
 *
 * Load pattern: bursts after which the backlog would outlast the callers' time.
 *
 * @example
 *     decideAdmission({forecast, targetLeftMilliseconds: 900, timeLeftMilliseconds: 5900});
 */
export function decideAdmission(input: AdmissionInput): Admission {
  const {forecast, targetLeftMilliseconds, timeLeftMilliseconds} = input;
  if (forecast.timelyMilliseconds <= targetLeftMilliseconds) {
    return {tag: 'timely'};
  }
  if (forecast.totalMilliseconds <= timeLeftMilliseconds * LATE_SHARE) {
    return {tag: 'late'};
  }
  // While the caller waits, the work ahead shrinks, but its time as well.
  const excess = forecast.totalMilliseconds - timeLeftMilliseconds * LATE_SHARE;
  return {tag: 'refused', retryAfterMilliseconds: excess / (1 - LATE_SHARE)};
}
