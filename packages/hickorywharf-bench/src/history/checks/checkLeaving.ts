import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type LeavingEvent = Extract<HistoryEvent, {tag: 'endpointLeaving'}>;

/** Time in which a leaving endpoint may still be given work. */
const LEAVING_MILLISECONDS = 3000;

/** Where the departure ends: the endpoint is back, or started anew. */
function findReturn(history: HistoryIndex, leaving: LeavingEvent): number {
  const leftAt = history.getIndex(leaving);
  const returns: readonly HistoryEvent[] = [
    ...history
      .select('endpointReturned')
      .filter(({endpoint}) => endpoint === leaving.endpoint),
    ...history
      .select('processStarted')
      .filter(
        ({name}) => name === leaving.endpoint && leaving.signal !== 'record',
      ),
  ];
  const indexes = returns
    .map((event) => history.getIndex(event))
    .filter((index) => index > leftAt);
  return Math.min(...indexes, history.lastIndex + 1);
}

/**
 * An endpoint that leaves takes no new work after three seconds, whichever
 * process noted the departure first.
 *
 * @example
 *     checkLeaving(history);
 */
export const checkLeaving: HistoryCheck = (history) => {
  const attempts = Map.groupBy(
    history.select('attemptAccepted'),
    (event) => event.endpoint,
  );
  return history.select('endpointLeaving').flatMap((leaving) => {
    const leftAt = history.getIndex(leaving);
    const returnedAt = findReturn(history, leaving);
    const late = (attempts.get(leaving.endpoint) ?? []).find((accepted) => {
      const at = history.getIndex(accepted);
      if (at < leftAt || at > returnedAt) return false;
      return history.getElapsedAtLeast(leftAt, at) > LEAVING_MILLISECONDS;
    });
    if (late === undefined) return [];
    return [
      {
        detail: `${late.endpoint} accepted ${late.attemptId} more than ${LEAVING_MILLISECONDS} ms after it left`,
        events: [leaving, late],
      },
    ];
  });
};
