import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type ProcessRun = ReturnType<HistoryIndex['getProcessRuns']>[number];
type AcceptedEvent = Extract<HistoryEvent, {tag: 'configurationAccepted'}>;

/** An interval of the history in which a process could not read changes. */
interface Outage {
  /** Index of the event that started it. */
  readonly from: number;
  /** Index of the event that ended it; null if the history ends first. */
  readonly until: number | null;
}

const ACTIVATION_MILLISECONDS = 3000;

/** Faults of the store, and faults and pauses of the process itself. */
function findOutages(history: HistoryIndex, run: ProcessRun): Outage[] {
  const ends: readonly HistoryEvent[] = [
    ...history.select('faultEnded'),
    ...history.select('processResumed'),
  ];
  const faults = history.select('faultBegan').flatMap((started) => {
    if (started.target !== null && started.target !== run.process) return [];
    const end = ends.find(
      (event) =>
        event.tag === 'faultEnded' &&
        event.fault === started.fault &&
        event.target === started.target &&
        history.getIndex(event) > history.getIndex(started),
    );
    return [{started, end}];
  });
  const pauses = history.select('processPaused').flatMap((started) => {
    if (started.name !== run.process) return [];
    const end = ends.find(
      (event) =>
        event.tag === 'processResumed' &&
        event.name === started.name &&
        history.getIndex(event) > history.getIndex(started),
    );
    return [{started, end}];
  });
  return [...faults, ...pauses]
    .map(({started, end}) => ({
      from: history.getIndex(started),
      until: end === undefined ? null : history.getIndex(end),
    }))
    .sort((left, right) => left.from - right.from);
}

/**
 * Index from which the three seconds count, or null if the store or the process
 * did not become reachable again.
 */
function findStart(
  history: HistoryIndex,
  accepted: AcceptedEvent,
  run: ProcessRun,
): number | null {
  let start = Math.max(history.getIndex(accepted), run.firstIndex);
  for (const {from, until} of findOutages(history, run)) {
    const isOver = until !== null && until <= start;
    const isPastLimit =
      from > start &&
      history.getMinimumElapsed(start, from) > ACTIVATION_MILLISECONDS;
    if (isOver || isPastLimit) continue;
    if (until === null) return null;
    start = until;
  }
  return start;
}

/**
 * An accepted change of configuration becomes active within three seconds at
 * every process that is up, counted from when the store and the process were
 * reachable.
 *
 * @example
 *     checkActivationTime(history);
 */
export const checkActivationTime: HistoryCheck = (history) => {
  const runs = history.getProcessRuns().filter(({role}) => role !== null);
  const activations = Map.groupBy(
    history.select('configurationInForce'),
    ({process, incarnation}) => `${process}/${incarnation}`,
  );

  function check(accepted: AcceptedEvent, run: ProcessRun) {
    const acceptedAt = history.getIndex(accepted);
    const endedAt = run.end?.index ?? history.lastIndex;
    const start = findStart(history, accepted, run);
    if (endedAt < acceptedAt || start === null || start > endedAt) return [];
    const ownActivations =
      activations.get(`${run.process}/${run.incarnation}`) ?? [];
    const activation = ownActivations.find(
      ({sequence}) => sequence >= accepted.sequence,
    );
    const until =
      activation === undefined ? endedAt : history.getIndex(activation);
    if (until <= start) return [];
    const elapsed = history.getMinimumElapsed(start, until);
    if (elapsed <= ACTIVATION_MILLISECONDS) return [];
    const result =
      activation === undefined ? 'was not active' : 'only became active';
    return [
      {
        detail: `sequence ${accepted.sequence} ${result} at ${run.process} ${elapsed.toFixed(0)} ms after it could be read`,
        events: activation === undefined ? [accepted] : [accepted, activation],
      },
    ];
  }

  return history
    .select('configurationAccepted')
    .flatMap((accepted) => runs.flatMap((run) => check(accepted, run)));
};
