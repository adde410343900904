import type {HomeInterval} from 'hickorywharf-types/homeInterval';

/**
 * Finds the interval of one partition that contains an issue time, in
 * milliseconds since the Unix epoch; undefined if none does.
 *
 * @example
 *     findInterval(intervals, issueTime)?.home; // 'desk-1'
 */
export function findInterval<Interval extends HomeInterval>(
  intervals: readonly Interval[],
  issueTime: number,
): Interval | undefined {
  return intervals.find(
    ({from, until}) => issueTime >= from && issueTime < until,
  );
}
