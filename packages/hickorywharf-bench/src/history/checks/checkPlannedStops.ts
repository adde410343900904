import type {HistoryCheck} from '../historyCheck.ts';

/**
 * An endpoint process that stops as planned has seen the end of every attempt
 * that it gave to its backend. What a stopping entry owes is verified with the
 * requests that it accepted.
 *
 * @example
 *     checkPlannedStops(history);
 */
export const checkPlannedStops: HistoryCheck = (history) => {
  const ended = new Set(
    history.select('attemptEnded').map(({attemptId}) => attemptId),
  );
  return history.select('attemptBegan').flatMap((began) => {
    const {end} = history.getLife(began);
    if (end?.kind !== 'planned' || ended.has(began.attemptId)) return [];
    return [
      {
        detail: `${began.endpoint} stopped as planned while ${began.attemptId} was at its backend`,
        events: [began, history.events[end.index]!],
      },
    ];
  });
};
