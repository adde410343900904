import type {OperatorsState} from 'hickorywharf-operators/operatorsState';

/** The sequence in force at one process, as seen directly or by a peer. */
interface StatusRow {
  readonly name: string;
  readonly sequence: number;
  /** Changes that the process has not got yet. */
  readonly lag: number;
  /** Whether the process itself was asked, or the peer that told of it. */
  readonly seenBy: string | null;
}

interface Status {
  readonly newest: number;
  readonly rows: readonly StatusRow[];
}

/**
 * Who has which sequence in force, from the states of the processes that were
 * asked and from what these know of their peers.
 *
 * @example
 *     createStatus(states).rows.filter(({lag}) => lag > 0);
 */
export function createStatus(states: readonly OperatorsState[]): Status {
  const seen = new Map<string, {sequence: number; seenBy: string | null}>();
  for (const {process, configuration} of states) {
    for (const {name, sequence} of configuration.peers) {
      const known = seen.get(name);
      if (known !== undefined && known.sequence >= sequence) continue;
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
