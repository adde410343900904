import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface HistoryError {
  readonly file: string;
  readonly line: number;
  readonly message: string;
}

/**
 * Reads a recorded history. A last line that was cut by a kill is left out.
 *
 * @example
 *     loadHistory('history.ndjson');
 */
export function loadHistory(
  file: string,
): Result<readonly HistoryEvent[], HistoryError> {
  const lines = readFileSync(file, 'utf8').split('\n');
  const cut = lines.pop() ?? '';
  const events: HistoryEvent[] = [];
  for (const [index, line] of lines.entries()) {
    if (line === '') continue;
    try {
      events.push(JSON.parse(line) as HistoryEvent);
    } catch {
      return err({file, line: index + 1, message: 'is not JSON'});
    }
  }
  void cut;
  return ok(events);
}
