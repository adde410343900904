import type {StageForecast} from './stageForecast.ts';

interface CallForecast {
  /** With only timely work before it. */
  readonly timelyMilliseconds: number;
  /** Behind all that waits. */
  readonly totalMilliseconds: number;
}

/**
 * How long a call takes from now to its first event: the longest way through
 * its stages, each with its wait and its work, and the engine.
 *
 * @param engineMilliseconds from the last result to the first event
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
    const begin = (ends: readonly number[]): number =>
      Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0));
    const timelyEnd =
      begin(timely) + stage.timelyWaitMilliseconds + workMilliseconds;
    const totalEnd =
      begin(total) + stage.totalWaitMilliseconds + workMilliseconds;
    timely.push(timelyEnd);
    total.push(totalEnd);
  }
  return {
    timelyMilliseconds: engineMilliseconds + Math.max(0, ...timely),
    totalMilliseconds: engineMilliseconds + Math.max(0, ...total),
  };
}
