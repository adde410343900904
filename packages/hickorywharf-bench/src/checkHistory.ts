import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from './breach.ts';
import {historyChecks} from './historyChecks.ts';

/**
 * Verifies the promises on a recorded history.
 *
 * @returns the broken promises; none for a good history
 * @example
 *     checkHistory(events).length;
 */
export function checkHistory(events: readonly HistoryEvent[]): Breach[] {
  return Object.values(historyChecks).flatMap((check) => check(events));
}
