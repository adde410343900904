import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryIndex} from './historyIndex.ts';

type ProcessRun = ReturnType<HistoryIndex['getProcessRuns']>[number];
type MutableRun = {-readonly [Key in keyof ProcessRun]: ProcessRun[Key]} & {
  readonly indexes: number[];
};

/** Position of the first of the ascending numbers that reaches the limit. */
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

function collectRuns(events: readonly HistoryEvent[]): MutableRun[] {
  const runs = new Map<string, MutableRun>();
  for (const [index, event] of events.entries()) {
    const key = `${event.process}/${event.incarnation}`;
    const existing = runs.get(key);
    if (existing !== undefined) {
      existing.indexes.push(index);
      continue;
    }
    runs.set(key, {
      process: event.process,
      incarnation: event.incarnation,
      role: null,
      firstIndex: index,
      end: null,
      indexes: [index],
    });
  }
  return [...runs.values()];
}

function recordRolesAndEnds(
  events: readonly HistoryEvent[],
  runs: readonly MutableRun[],
): void {
  const findRun = (name: string, index: number) =>
    runs.findLast(
      ({process, firstIndex}) => process === name && firstIndex <= index,
    );
  for (const [index, event] of events.entries()) {
    if (event.tag === 'processStarted') {
      const run = findRun(event.name, index);
      if (run !== undefined) run.role = event.role;
    }
    if (event.tag === 'processStopped' || event.tag === 'processCrashed') {
      const run = findRun(event.name, index);
      if (run === undefined || run.end !== null) continue;
      const isPlanned = event.tag === 'processStopped' && event.planned;
      run.end = {index, kind: isPlanned ? 'planned' : 'killed'};
    }
  }
}

/**
 * Indexes a history for the checks. Events are ordered by their position in the
 * history, since all processes append each event to the same file as it occurs;
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
  const runs = collectRuns(events);
  recordRolesAndEnds(events, runs);
  const runsByKey = new Map(
    runs.map((run) => [`${run.process}/${run.incarnation}`, run]),
  );

  function getElapsedIn(run: MutableRun, from: number, to: number): number {
    const first = run.indexes[findAtOrAfter(run.indexes, from)];
    const last = run.indexes[findAtOrAfter(run.indexes, to + 1) - 1];
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
    getProcessRuns: () => runs,
    getProcessRun: ({process, incarnation}) =>
      runsByKey.get(`${process}/${incarnation}`)!,
    getMinimumElapsed: (from, to) =>
      runs.reduce(
        (longest, run) => Math.max(longest, getElapsedIn(run, from, to)),
        0,
      ),
  };
}
