import type {CallRecord} from '../../load/callRecord.ts';
import type {ExperimentReport} from '../experimentReport.ts';

type Series = ExperimentReport['runs'][number]['series'];

const MILLISECONDS = 1000;

/**
 * Attainment, refusals and offered load by the second at which calls were
 * meant to be sent.
 *
 * @example
 *     createSeries(records)['attainment'];
 */
export function createSeries(records: readonly CallRecord[]): Series {
  const bySecond = new Map<number, CallRecord[]>();
  for (const record of records) {
    const second = Math.floor(record.call.atMilliseconds / MILLISECONDS);
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
