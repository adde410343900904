import type {HistoryCheck} from '../historyCheck.ts';

/**
 * An endpoint process that stops as planned does so after every attempt that it
 * sent to its backend has ended. For entries, `checkRequestsFinish` verifies the
 * requests that they accepted.
 *
 * @example
 *     checkPlannedStops(history);
 */
export const checkPlannedStops: HistoryCheck = (history) => {
  const ended = new Set(
    history.select('attemptEnded').map(({attemptId}) => attemptId),
  );
  return history.select('attemptBegan').flatMap((started) => {
    const {end} = history.getProcessRun(started);
    if (end?.kind !== 'planned' || ended.has(started.attemptId)) return [];
    return [
      {
        detail: `${started.endpoint} stopped as planned while its backend processed ${started.attemptId}`,
        events: [started, history.events[end.index]!],
      },
    ];
  });
};
