import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

/** A broken promise, with the events that show it. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
  readonly events: readonly HistoryEvent[];
}
