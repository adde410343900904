import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from './breach.ts';
import {createHistoryIndex} from './history/createHistoryIndex.ts';
import {historyChecks} from './history/historyChecks.ts';

/**
 * Verifies the promises on a recorded history.
 *
 * @returns the broken promises; none for a good history
 * @example
 *     checkHistory(events).length;
 */
export function checkHistory(events: readonly HistoryEvent[]): Breach[] {
  const history = createHistoryIndex(events);
  return Object.entries(historyChecks).flatMap(([promise, check]) =>
    check(history).map((breach) => ({promise, ...breach})),
  );
}
