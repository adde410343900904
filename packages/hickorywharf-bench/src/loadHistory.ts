import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import {readHistoryLine} from './history/readHistoryLine.ts';

interface HistoryError {
  readonly file: string;
  /** Counted from 1; 0 for an error of the file as a whole. */
  readonly line: number;
  readonly message: string;
}

/**
 * Reads a recorded history. An incomplete last line, which a killed process can
 * leave behind, is skipped.
 *
 * @returns the events in the order of the file, or an error if the file cannot
 *   be read, a line is invalid, or there is no event, since an empty history
 *   would pass every check
 * @example
 *     const events = loadHistory('history.ndjson').unwrapOr([]);
 */
export function loadHistory(
  file: string,
): Result<readonly HistoryEvent[], HistoryError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err({file, line: 0, message: (error as Error).message});
  }
  const wholeLines = text.split('\n').slice(0, -1);
  const events: HistoryEvent[] = [];
  for (const [index, line] of wholeLines.entries()) {
    if (line === '') continue;
    const read = readHistoryLine(line);
    if (read.isErr()) {
      return err({file, line: index + 1, message: read.error});
    }
    events.push(read.value);
  }
  if (events.length === 0) return err({file, line: 0, message: 'has no event'});
  return ok(events);
}
