import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type Life = ReturnType<HistoryIndex['getLives']>[number];
type AcceptedEvent = Extract<HistoryEvent, {tag: 'configurationAccepted'}>;

/** A time in which a process could not be told of a change. */
interface Disturbance {
  readonly from: number;
  /** Null where it was not over at the end of the history. */
  readonly until: number | null;
}

const IN_FORCE_MILLISECONDS = 3000;

/** Faults of the store, and those of the process itself. */
function findDisturbances(history: HistoryIndex, life: Life): Disturbance[] {
  const ends: readonly HistoryEvent[] = [
    ...history.select('faultEnded'),
    ...history.select('processResumed'),
  ];
  const faults = history.select('faultBegan').flatMap((began) => {
    if (began.target !== null && began.target !== life.process) return [];
    const end = ends.find(
      (event) =>
        event.tag === 'faultEnded' &&
        event.fault === began.fault &&
        event.target === began.target &&
        history.getIndex(event) > history.getIndex(began),
    );
    return [{began, end}];
  });
  const pauses = history.select('processPaused').flatMap((began) => {
    if (began.name !== life.process) return [];
    const end = ends.find(
      (event) =>
        event.tag === 'processResumed' &&
        event.name === began.name &&
        history.getIndex(event) > history.getIndex(began),
    );
    return [{began, end}];
  });
  return [...faults, ...pauses]
    .map(({began, end}) => ({
      from: history.getIndex(began),
      until: end === undefined ? null : history.getIndex(end),
    }))
    .sort((left, right) => left.from - right.from);
}

/** From when the three seconds count, or null where they never began. */
function findStart(
  history: HistoryIndex,
  accepted: AcceptedEvent,
  life: Life,
): number | null {
  let start = Math.max(history.getIndex(accepted), life.first);
  for (const {from, until} of findDisturbances(history, life)) {
    const isOver = until !== null && until <= start;
    const isLater =
      from > start &&
      history.getElapsedAtLeast(start, from) > IN_FORCE_MILLISECONDS;
    if (isOver || isLater) continue;
    if (until === null) return null;
    start = until;
  }
  return start;
}

/**
 * A change of configuration that was accepted is in force within three seconds
 * at every process that is up, counted from when the store and the process
 * could be reached.
 *
 * @example
 *     checkInForce(history);
 */
export const checkInForce: HistoryCheck = (history) => {
  const lives = history.getLives().filter(({role}) => role !== null);
  const changes = Map.groupBy(
    history.select('configurationInForce'),
    ({process, incarnation}) => `${process}/${incarnation}`,
  );

  function check(accepted: AcceptedEvent, life: Life) {
    const acceptedAt = history.getIndex(accepted);
    const endedAt = life.end?.index ?? history.lastIndex;
    const start = findStart(history, accepted, life);
    if (endedAt < acceptedAt || start === null || start > endedAt) return [];
    const own = changes.get(`${life.process}/${life.incarnation}`) ?? [];
    const inForce = own.find(({sequence}) => sequence >= accepted.sequence);
    const until = inForce === undefined ? endedAt : history.getIndex(inForce);
    if (until <= start) return [];
    const took = history.getElapsedAtLeast(start, until);
    if (took <= IN_FORCE_MILLISECONDS) return [];
    const what = inForce === undefined ? 'was not' : 'was only then';
    return [
      {
        detail: `sequence ${accepted.sequence} ${what} in force at ${life.process} ${took.toFixed(0)} ms after it was accepted`,
        events: inForce === undefined ? [accepted] : [accepted, inForce],
      },
    ];
  }

  return history
    .select('configurationAccepted')
    .flatMap((accepted) => lives.flatMap((life) => check(accepted, life)));
};
