import type {HistoryCheck} from '../historyCheck.ts';

/**
 * A process ends because it was stopped or killed, and never by itself.
 *
 * @example
 *     checkProcesses(history);
 */
export const checkProcesses: HistoryCheck = (history) => {
  const crashed = history.select('processCrashed').map((event) => ({
    detail: `${event.name} ended by itself with exit code ${event.exitCode}`,
    events: [event],
  }));
  const lives = history.getLives().filter(({role}) => role !== null);
  const silent = lives.flatMap((life) => {
    const successor = lives.find(
      ({process, first}) => process === life.process && first > life.first,
    );
    if (life.end !== null || successor === undefined) return [];
    return [
      {
        detail: `${life.process} was started anew and its end was not recorded`,
        events: [history.events[successor.first]!],
      },
    ];
  });
  return [...crashed, ...silent];
};
