import type {StageForecast} from './stageForecast.ts';

interface CallForecast {
  /** The time if each stage waits only for timely work. */
  readonly timelyMilliseconds: number;
  /** The time if each stage waits for all work that is queued now. */
  readonly totalMilliseconds: number;
}

/**
 * Forecasts the time from now to the first event of a call's response stream:
 * the critical path through the stages, with the wait and the work of each, and
 * the time of the engine.
 *
 * @param engineMilliseconds time from the arrival of the last stage result at
 *     the engine, the endpoint that generates the response, to the first event
 * @example
 *     forecastCall(stages, 200).timelyMilliseconds; // 950
 */
export function forecastCall(
  stages: readonly StageForecast[],
  engineMilliseconds: number,
): CallForecast {
  const timely: number[] = [];
  const total: number[] = [];
  for (const stage of stages) {
    const {after, workMilliseconds} = stage;
    // All positions in `after` precede the stage, so `ends` has their values.
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
