import type {ExperimentReport} from '../experiments/experimentReport.ts';
import type {CallRecord} from './callRecord.ts';
import {getQuantiles} from './getQuantiles.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];

function getShare(
  records: readonly CallRecord[],
  isCounted: (record: CallRecord) => boolean,
): number {
  if (records.length === 0) return 0;
  return records.filter(isCounted).length / records.length;
}

/** Refused at admission, before any backend worked on it. */
function isRefused({outcome}: CallRecord): boolean {
  return outcome === 'notRun';
}

/**
 * Computes the figures that callers observe: the shares of good calls
 * (attainment), of refused calls and of wrong answers, latency, time to the
 * first token and times between tokens.
 *
 * @param prefix prepended to the name of each figure
 * @example
 *     summarizeLoad(records, 'steady ');
 */
export function summarizeLoad(
  records: readonly CallRecord[],
  prefix = '',
): Figure[] {
  const accepted = records.filter((record) => !isRefused(record));
  const good = records.filter(({isGood}) => isGood);
  const latency = getQuantiles(good.map((item) => item.latencyMilliseconds));
  const first = getQuantiles(
    accepted.flatMap(({firstTokenMilliseconds}) =>
      firstTokenMilliseconds === null ? [] : [firstTokenMilliseconds],
    ),
  );
  const gaps = getQuantiles(
    good.flatMap(({tokenGapMilliseconds}) => [...tokenGapMilliseconds]),
  );
  const share = (name: string, value: number): Figure => ({
    name: `${prefix}${name}`,
    value,
    unit: 'share',
    target: null,
  });
  const time = (name: string, value: number): Figure => ({
    name: `${prefix}${name}`,
    value,
    unit: 'milliseconds',
    target: null,
  });
  return [
    share(
      'attainment',
      getShare(records, ({isGood}) => isGood),
    ),
    share(
      'attainment of accepted',
      getShare(accepted, ({isGood}) => isGood),
    ),
    share('refused', getShare(records, isRefused)),
    share(
      'wrong answers',
      getShare(
        records,
        ({outcome, isCorrect}) => outcome === 'answered' && !isCorrect,
      ),
    ),
    time('latency p50', latency.median),
    time('latency p99', latency.percentile99),
    time('first token p95', first.percentile95),
    time('token gap p95', gaps.percentile95),
  ];
}
