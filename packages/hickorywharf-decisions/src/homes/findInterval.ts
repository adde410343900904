import type {HomeInterval} from 'hickorywharf-types/homeInterval';

/**
 * Finds the interval of one partition that contains an issue time in
 * milliseconds; undefined if none does.
 *
 * @example
 *     findInterval(intervals, issueTime)?.home;
 */
export function findInterval<Interval extends HomeInterval>(
  intervals: readonly Interval[],
  issueTime: number,
): Interval | undefined {
  return intervals.find(
    ({from, until}) => issueTime >= from && issueTime < until,
  );
}
