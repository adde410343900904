import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryIndex} from './historyIndex.ts';

type Life = ReturnType<HistoryIndex['getLives']>[number];
type MutableLife = {-readonly [Key in keyof Life]: Life[Key]} & {
  readonly indexes: number[];
};

/** The first of the ascending numbers that is not below the limit. */
function findAtOrAfter(numbers: readonly number[], limit: number): number {
  let low = 0;
  let high = numbers.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (numbers[middle]! < limit) low = middle + 1;
    else high = middle;
  }
  return low;
}

function collectLives(events: readonly HistoryEvent[]): MutableLife[] {
  const lives = new Map<string, MutableLife>();
  for (const [index, event] of events.entries()) {
    const key = `${event.process}/${event.incarnation}`;
    const known = lives.get(key);
    if (known !== undefined) {
      known.indexes.push(index);
      continue;
    }
    lives.set(key, {
      process: event.process,
      incarnation: event.incarnation,
      role: null,
      first: index,
      end: null,
      indexes: [index],
    });
  }
  return [...lives.values()];
}

function noteRolesAndEnds(
  events: readonly HistoryEvent[],
  lives: readonly MutableLife[],
): void {
  const findLife = (name: string, index: number) =>
    lives.findLast(({process, first}) => process === name && first <= index);
  for (const [index, event] of events.entries()) {
    if (event.tag === 'processStarted') {
      const life = findLife(event.name, index);
      if (life !== undefined) life.role = event.role;
    }
    if (event.tag === 'processStopped' || event.tag === 'processCrashed') {
      const life = findLife(event.name, index);
      if (life === undefined || life.end !== null) continue;
      const isPlanned = event.tag === 'processStopped' && event.planned;
      life.end = {index, kind: isPlanned ? 'planned' : 'killed'};
    }
  }
}

/**
 * Indexes a history for the checks. The order of the lines is the order of the
 * events, since every process appends each event to one file as it happens;
 * clocks of different processes are never compared.
 *
 * @example
 *     createHistoryIndex(events).select('actionRan');
 */
export function createHistoryIndex(
  events: readonly HistoryEvent[],
): HistoryIndex {
  const indexes = new Map(events.map((event, index) => [event, index]));
  const byTag = Map.groupBy(events, ({tag}) => tag);
  const lives = collectLives(events);
  noteRolesAndEnds(events, lives);
  const livesByKey = new Map(
    lives.map((life) => [`${life.process}/${life.incarnation}`, life]),
  );

  function getElapsedIn(life: MutableLife, from: number, to: number): number {
    const first = life.indexes[findAtOrAfter(life.indexes, from)];
    const last = life.indexes[findAtOrAfter(life.indexes, to + 1) - 1];
    if (first === undefined || last === undefined || last <= first) return 0;
    return (
      events[last]!.monotonicMilliseconds - events[first]!.monotonicMilliseconds
    );
  }

  return {
    events,
    lastIndex: events.length - 1,
    select: (tag) => (byTag.get(tag) ?? []) as never,
    getIndex: (event) => indexes.get(event)!,
    getLives: () => lives,
    getLife: ({process, incarnation}) =>
      livesByKey.get(`${process}/${incarnation}`)!,
    getElapsedAtLeast: (from, to) =>
      lives.reduce(
        (most, life) => Math.max(most, getElapsedIn(life, from, to)),
        0,
      ),
  };
}
