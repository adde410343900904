import type {Breach} from '../breach.ts';
import type {HistoryIndex} from './historyIndex.ts';

/** Verifies one promise on a history; gives what breaks it. */
export type HistoryCheck = (
  history: HistoryIndex,
) => readonly Omit<Breach, 'promise'>[];
