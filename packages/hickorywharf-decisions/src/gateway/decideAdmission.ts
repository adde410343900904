/** Expected time until the first event of the call's response stream. */
interface CallForecast {
  /** The time if the call waits only for timely work. */
  readonly timelyMilliseconds: number;
  /** The time if the call waits for all work that is queued now. */
  readonly totalMilliseconds: number;
}

interface AdmissionInput {
  readonly forecast: CallForecast;
  /** Time left until the latency target; negative if it has passed. */
  readonly targetLeftMilliseconds: number;
  /** Time left until the deadline. */
  readonly timeLeftMilliseconds: number;
  /**
   * Expected time until the client account has no more than its share of the
   * room; 0 or left out if it has not. Until then the call is not admitted late.
   */
  readonly overShareMilliseconds?: number;
}

type Admission =
  | {readonly tag: 'timely' | 'late'}
  | {readonly tag: 'refused'; readonly retryAfterMilliseconds: number};

/**
 * Share of the time left until the deadline within which a late call has to be
 * served by the forecast. The rest is a reserve for timely work that arrives
 * meanwhile and goes first.
 */
const LATE_SHARE = 0.7;

/**
 * Decides whether to admit a call: as timely if it can meet its target, or else
 * as late if it can be served after all waiting work and well before its
 * deadline. A refused caller gets the time after which the call would be
 * admitted as late if no other call arrived and its deadline stayed the same.
 *
 * Designed for bursts after which the backlog would outlast the callers'
 * timeouts. In a burst of one account, its late calls would wait behind all
 * others until their deadline, so they are refused at once.
 *
 * @example
 *     decideAdmission({
 *       forecast: {timelyMilliseconds: 1300, totalMilliseconds: 4000},
 *       targetLeftMilliseconds: 900,
 *       timeLeftMilliseconds: 5900,
 *     }); // {tag: 'late'}
 */
export function decideAdmission(input: AdmissionInput): Admission {
  const {forecast, targetLeftMilliseconds, timeLeftMilliseconds} = input;
  const {overShareMilliseconds = 0} = input;
  if (forecast.timelyMilliseconds <= targetLeftMilliseconds) {
    return {tag: 'timely'};
  }
  const isInTime =
    forecast.totalMilliseconds <= timeLeftMilliseconds * LATE_SHARE;
  if (isInTime && overShareMilliseconds === 0) return {tag: 'late'};
  // While the caller waits, the backlog shrinks, and so does the time left.
  const excess = forecast.totalMilliseconds - timeLeftMilliseconds * LATE_SHARE;
  const retryAfterMilliseconds = Math.max(
    excess / (1 - LATE_SHARE),
    overShareMilliseconds,
  );
  return {tag: 'refused', retryAfterMilliseconds};
}
