import type {OperatorsState} from 'hickorywharf-operators/operatorsState';

/** The active sequence of one process, as it or one of its peers reports it. */
interface StatusRow {
  readonly name: string;
  readonly sequence: number;
  /** Difference between the newest sequence and that of the process. */
  readonly lag: number;
  /** The peer that reported the sequence; null for the process itself. */
  readonly seenBy: string | null;
}

interface Status {
  /** The highest sequence of all rows; 0 without any. */
  readonly newest: number;
  readonly rows: readonly StatusRow[];
}

/**
 * Lists the active sequence of each process, sorted by name. A state that was
 * fetched from the process itself takes precedence over the reports of its
 * peers; of several reports the one with the highest sequence counts.
 *
 * @example
 *     createStatus(states).rows.filter(({lag}) => lag > 0);
 */
export function createStatus(states: readonly OperatorsState[]): Status {
  const seen = new Map<string, {sequence: number; seenBy: string | null}>();
  for (const {process, configuration} of states) {
    for (const {name, sequence} of configuration.peers) {
      const other = seen.get(name);
      if (other !== undefined && other.sequence >= sequence) continue;
      seen.set(name, {sequence, seenBy: process.name});
    }
  }
  for (const {process, configuration} of states) {
    const {sequence} = configuration;
    seen.set(process.name, {sequence, seenBy: null});
  }
  const newest = Math.max(
    0,
    ...Array.from(seen.values(), ({sequence}) => sequence),
  );
  const rows = Array.from(seen, ([name, {sequence, seenBy}]) => ({
    name,
    sequence,
    lag: newest - sequence,
    seenBy,
  }));
  rows.sort((left, right) => (left.name < right.name ? -1 : 1));
  return {newest, rows};
}
