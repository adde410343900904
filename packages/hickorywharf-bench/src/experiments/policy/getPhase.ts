import type {CallRecord} from '../../load/callRecord.ts';

/**
 * Returns the calls of one phase of a scenario.
 *
 * @param phase index of the phase; 0 is the warm-up
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
