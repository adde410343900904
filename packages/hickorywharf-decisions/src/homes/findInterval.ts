import type {HomeInterval} from 'hickorywharf-types/homeInterval';

/**
 * The interval that an issue time lies in, among those of one half and part.
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
