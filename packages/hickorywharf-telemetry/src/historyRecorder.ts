import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

/** An event without the fields that the recorder adds. */
type Unstamped<Event> = Event extends unknown
  ? Omit<
      Event,
      'process' | 'incarnation' | 'monotonicMilliseconds' | 'wallMilliseconds'
    >
  : never;

/** Records the events of one process for `check-history`. */
export interface HistoryRecorder {
  record(event: Unstamped<HistoryEvent>): void;
  /** Closes the file; nothing may be recorded afterwards. */
  close(): void;
}
