import type {Breach} from '../breach.ts';
import type {HistoryIndex} from './historyIndex.ts';

/** Verifies one guarantee on a history and returns its violations. */
export type HistoryCheck = (
  history: HistoryIndex,
) => readonly Omit<Breach, 'promise'>[];
