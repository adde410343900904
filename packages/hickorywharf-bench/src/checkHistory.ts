import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from './breach.ts';
import {createHistoryIndex} from './history/createHistoryIndex.ts';
import {historyChecks} from './history/historyChecks.ts';

/**
 * Verifies the system's guarantees on a recorded history.
 *
 * @param events in the order of the history file
 * @returns one breach for each violation found; empty if every guarantee holds
 * @example
 *     checkHistory(events).length; // 0 if every guarantee holds
 */
export function checkHistory(events: readonly HistoryEvent[]): Breach[] {
  const history = createHistoryIndex(events);
  return Object.entries(historyChecks).flatMap(([promise, check]) =>
    check(history).map((breach) => ({promise, ...breach})),
  );
}
