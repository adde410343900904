import type {StageForecast} from './stageForecast.ts';

interface CallForecast {
  /** If only timely work goes first. */
  readonly timelyMilliseconds: number;
  /** If everything that is waiting goes first. */
  readonly totalMilliseconds: number;
}

/**
 * Forecasts the time from now to the first event of a call: the critical path
 * through its stages, each with its wait and its work, and then the engine.
 *
 * @param engineMilliseconds from the last stage result to the first event
 * @example
 *     forecastCall(stages, 200).timelyMilliseconds;
 */
export function forecastCall(
  stages: readonly StageForecast[],
  engineMilliseconds: number,
): CallForecast {
  const timely: number[] = [];
  const total: number[] = [];
  for (const stage of stages) {
    const {after, workMilliseconds} = stage;
    const getStart = (ends: readonly number[]): number =>
      Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0));
    const timelyEnd =
      getStart(timely) + stage.timelyWaitMilliseconds + workMilliseconds;
    const totalEnd =
      getStart(total) + stage.totalWaitMilliseconds + workMilliseconds;
    timely.push(timelyEnd);
    total.push(totalEnd);
  }
  return {
    timelyMilliseconds: engineMilliseconds + Math.max(0, ...timely),
    totalMilliseconds: engineMilliseconds + Math.max(0, ...total),
  };
}
