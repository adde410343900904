import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

/** One life of a process, as its events and those about it show it. */
interface Life {
  readonly process: string;
  readonly incarnation: string;
  /** Null for callers, operators, stand-ins and drivers of an experiment. */
  readonly role: 'entry' | 'endpoint' | null;
  /** Index of its first event. */
  readonly first: number;
  /** How it ended, or null where it was still there at the end. */
  readonly end: {
    readonly index: number;
    readonly kind: 'planned' | 'killed';
  } | null;
}

/** A history as the checks read it. */
export interface HistoryIndex {
  readonly events: readonly HistoryEvent[];
  readonly lastIndex: number;
  select<Tag extends HistoryEvent['tag']>(
    tag: Tag,
  ): readonly Extract<HistoryEvent, {tag: Tag}>[];
  /** Position of an event in the history. */
  getIndex(event: HistoryEvent): number;
  getLives(): readonly Life[];
  /** The life that recorded an event. */
  getLife(event: Pick<HistoryEvent, 'process' | 'incarnation'>): Life;
  /**
   * Milliseconds that certainly passed between two positions: the most that
   * any one process saw pass on its own monotonic clock.
   */
  getElapsedAtLeast(fromIndex: number, toIndex: number): number;
}
