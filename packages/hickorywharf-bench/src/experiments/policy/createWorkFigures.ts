import type {WorkLog} from 'hickorywharf-standins/workLog';
import type {CallRecord} from '../../load/callRecord.ts';
import {summarizeWork} from '../../load/summarizeWork.ts';
import type {ExperimentReport} from '../experimentReport.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];

/**
 * Returns the wasted work and the cost of each stage for each good response, in
 * milliseconds, separated by what the work was used for.
 *
 * @example
 *     createWorkFigures(work, records);
 */
export function createWorkFigures(
  work: WorkLog['items'],
  records: readonly CallRecord[],
): Figure[] {
  const {byStage, extraShare, engineWasteShare} = summarizeWork(work, records);
  const goodResponses = Math.max(
    1,
    records.filter(({isGood}) => isGood).length,
  );
  const figures: Figure[] = [
    {
      name: 'engine waste',
      value: engineWasteShare,
      unit: 'share',
      target: null,
    },
    {name: 'extra attempts', value: extraShare, unit: 'share', target: null},
  ];
  for (const [stage, uses] of Object.entries(byStage)) {
    for (const [use, milliseconds] of Object.entries(uses)) {
      if (milliseconds === 0) continue;
      figures.push({
        name: `cost ${stage} ${use}`,
        value: milliseconds / goodResponses,
        unit: 'milliseconds per good answer',
        target: null,
      });
    }
  }
  return figures;
}
