import type {forecastCall} from './forecastCall.ts';

type CallForecast = ReturnType<typeof forecastCall>;

interface SharedForecast {
  /** Time left until the latency target; negative if it has passed. */
  readonly targetLeftMilliseconds: number;
  /**
   * The forecast for an account that is over its share, or is not; null for the
   * forecast without accounts.
   */
  getForecast(isOverShare: boolean | null): CallForecast;
  /** Whether the account of the call has more than its share of the room. */
  isOverShare(): boolean;
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
 *       isOverShare: () => shares.getStanding('farm-1', now).isOver,
 *     });
 */
export function forecastByShare(input: SharedForecast): CallForecast {
  const {targetLeftMilliseconds, getForecast, isOverShare} = input;
  const forecast = getForecast(null);
  const hasRoom = forecast.totalMilliseconds <= targetLeftMilliseconds;
  return hasRoom ? forecast : getForecast(isOverShare());
}
