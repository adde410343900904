import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type LeavingEvent = Extract<HistoryEvent, {tag: 'endpointLeaving'}>;

/** Time in which a leaving endpoint may still accept work. */
const LEAVING_MILLISECONDS = 3000;

/**
 * Index at which the departure ends: the endpoint returned or its process was
 * restarted. A departure signalled by a record outlasts a restart.
 */
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
 * A leaving endpoint accepts no new work after three seconds, regardless of
 * which process recorded the departure first.
 *
 * @example
 *     checkLeavingEndpoints(history);
 */
export const checkLeavingEndpoints: HistoryCheck = (history) => {
  const attempts = Map.groupBy(
    history.select('attemptAccepted'),
    (event) => event.endpoint,
  );
  return history.select('endpointLeaving').flatMap((leaving) => {
    const leftAt = history.getIndex(leaving);
    const returnedAt = findReturn(history, leaving);
    const lateAttempt = (attempts.get(leaving.endpoint) ?? []).find(
      (accepted) => {
        const at = history.getIndex(accepted);
        if (at < leftAt || at > returnedAt) return false;
        return history.getMinimumElapsed(leftAt, at) > LEAVING_MILLISECONDS;
      },
    );
    if (lateAttempt === undefined) return [];
    return [
      {
        detail: `${lateAttempt.endpoint} accepted ${lateAttempt.attemptId} more than ${LEAVING_MILLISECONDS} ms after it left`,
        events: [leaving, lateAttempt],
      },
    ];
  });
};
