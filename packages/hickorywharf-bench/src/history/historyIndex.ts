import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

/** One incarnation of a process, derived from its events and those about it. */
interface ProcessRun {
  readonly process: string;
  readonly incarnation: string;
  /** Null for callers, operators, stand-ins and drivers of experiments. */
  readonly role: 'entry' | 'endpoint' | null;
  /** Index of the first event that the process recorded. */
  readonly firstIndex: number;
  /** How it ended; null if it was up at the end of the history. */
  readonly end: {
    readonly index: number;
    readonly kind: 'planned' | 'killed';
  } | null;
}

/** A history indexed for the checks. */
export interface HistoryIndex {
  readonly events: readonly HistoryEvent[];
  readonly lastIndex: number;
  /** Events with a tag, in order. */
  select<Tag extends HistoryEvent['tag']>(
    tag: Tag,
  ): readonly Extract<HistoryEvent, {tag: Tag}>[];
  /** Position of an event in the history. */
  getIndex(event: HistoryEvent): number;
  getProcessRuns(): readonly ProcessRun[];
  /** The run that recorded an event. */
  getProcessRun(
    event: Pick<HistoryEvent, 'process' | 'incarnation'>,
  ): ProcessRun;
  /**
   * Lower bound on the milliseconds between two positions: the longest time that
   * any single process measured on its monotonic clock.
   */
  getMinimumElapsed(fromIndex: number, toIndex: number): number;
}
