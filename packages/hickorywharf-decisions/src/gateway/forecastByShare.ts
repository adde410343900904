import type {forecastCall} from './forecastCall.ts';

type CallForecast = ReturnType<typeof forecastCall>;

/** The forecast of a call, with how its client account stands. */
interface AccountForecast extends CallForecast {
  /**
   * Expected time until the account has no more than its share of the room; 0 if
   * it has not, or if there is room for all.
   */
  readonly overShareMilliseconds: number;
}

interface SharedForecast {
  /** Time left until the latency target; negative if it has passed. */
  readonly targetLeftMilliseconds: number;
  /**
   * The forecast for an account that is over its share, or is not; null for the
   * forecast without accounts.
   */
  getForecast(isOverShare: boolean | null): CallForecast;
  /** The work that the account has, and its share of the room. */
  getStanding(): {
    readonly isOver: boolean;
    readonly workMilliseconds: number;
    readonly shareMilliseconds: number;
  };
}

/**
 * Forecasts a call by how its client account stands, if room is short: a call
 * waits behind all timely work if its account is over its share, and else not
 * behind what other accounts have beyond theirs. While the call would meet its
 * target even after all work that is queued, there is room for all, and the
 * forecast is the one without accounts.
 *
 * Designed for a burst of one account: its calls are refused or late first, and
 * those of the others are admitted though the queue is long.
 *
 * @example
 *     const forecast = forecastByShare({
 *       targetLeftMilliseconds: 900,
 *       getForecast: (isOverShare) => forecastCall(forecastStages(isOverShare), 200),
 *       getStanding: () => shares.getStanding('farm-1', now),
 *     });
 */
export function forecastByShare(input: SharedForecast): AccountForecast {
  const {targetLeftMilliseconds, getForecast, getStanding} = input;
  const forecast = getForecast(null);
  if (forecast.totalMilliseconds <= targetLeftMilliseconds) {
    return {...forecast, overShareMilliseconds: 0};
  }
  const {isOver, workMilliseconds, shareMilliseconds} = getStanding();
  // All that the account has would be done after the work that is queued now.
  const excess = isOver ? 1 - shareMilliseconds / workMilliseconds : 0;
  return {
    ...getForecast(isOver),
    overShareMilliseconds: forecast.totalMilliseconds * excess,
  };
}
