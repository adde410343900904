import type {CallRecord} from '../../load/callRecord.ts';
import type {ExperimentReport} from '../experimentReport.ts';

type Series = ExperimentReport['runs'][number]['series'];

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Returns the share of good calls, the share of refused calls and the number of
 * calls for each second, by the scheduled time of the calls.
 *
 * @example
 *     createSeries(records)['attainment'];
 */
export function createSeries(records: readonly CallRecord[]): Series {
  const bySecond = new Map<number, CallRecord[]>();
  for (const record of records) {
    const second = Math.floor(
      record.call.atMilliseconds / MILLISECONDS_PER_SECOND,
    );
    bySecond.set(second, [...(bySecond.get(second) ?? []), record]);
  }
  const seconds = [...bySecond].sort(([left], [right]) => left - right);
  const count = (
    list: readonly CallRecord[],
    isCounted: (record: CallRecord) => boolean,
  ) => list.filter(isCounted).length;
  return {
    attainment: seconds.map(([second, list]) => [
      second,
      count(list, ({isGood}) => isGood) / list.length,
    ]),
    refused: seconds.map(([second, list]) => [
      second,
      count(list, ({outcome}) => outcome === 'notRun') / list.length,
    ]),
    offered: seconds.map(([second, list]) => [second, list.length]),
  };
}
