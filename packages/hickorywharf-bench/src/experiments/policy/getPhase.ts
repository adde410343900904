import type {CallRecord} from '../../load/callRecord.ts';

/**
 * The calls of one phase of a scenario.
 *
 * @example
 *     getPhase(records, 1).length;
 */
export function getPhase(
  records: readonly CallRecord[],
  phase: number,
): CallRecord[] {
  return records.filter(({call}) => call.phase === phase);
}
