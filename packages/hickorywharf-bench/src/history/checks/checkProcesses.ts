import type {HistoryCheck} from '../historyCheck.ts';

/**
 * A process ends only because it was stopped or killed, never by itself.
 *
 * @example
 *     checkProcesses(history);
 */
export const checkProcesses: HistoryCheck = (history) => {
  const crashed = history.select('processCrashed').map((event) => ({
    detail: `${event.name} ended by itself with exit code ${event.exitCode}`,
    events: [event],
  }));
  const runs = history.getProcessRuns().filter(({role}) => role !== null);
  const unrecorded = runs.flatMap((run) => {
    const successor = runs.find(
      ({process, firstIndex}) =>
        process === run.process && firstIndex > run.firstIndex,
    );
    if (run.end !== null || successor === undefined) return [];
    return [
      {
        detail: `${run.process} was restarted, but its previous end was not recorded`,
        events: [history.events[successor.firstIndex]!],
      },
    ];
  });
  return [...crashed, ...unrecorded];
};
