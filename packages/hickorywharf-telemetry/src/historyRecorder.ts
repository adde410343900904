import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

type Unstamped<Event> = Event extends unknown
  ? Omit<
      Event,
      'process' | 'incarnation' | 'monotonicMilliseconds' | 'wallMilliseconds'
    >
  : never;

/** Records the events of one process for `check-history`. */
export interface HistoryRecorder {
  record(event: Unstamped<HistoryEvent>): void;
  close(): void;
}
