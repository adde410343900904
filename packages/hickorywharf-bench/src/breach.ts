import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

/** A broken guarantee, with the events that prove it. */
export interface Breach {
  /** Name of the guarantee, a key of `historyChecks`. */
  readonly promise: string;
  readonly detail: string;
  readonly events: readonly HistoryEvent[];
}
