import {err, ok, type Result} from 'neverthrow';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import {historySchemas} from './historySchemas.ts';

function parse(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

function describeUnknownTag(tag: unknown): string {
  const nearest = getNearestName(String(tag), Object.keys(historySchemas));
  const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
  return `'${String(tag)}' is no kind of event${hint}`;
}

/**
 * Parses one line of a recorded history, or returns why it is invalid.
 *
 * @example
 *     readHistoryLine('{}').isErr(); // true: it has no tag
 */
export function readHistoryLine(line: string): Result<HistoryEvent, string> {
  const json = parse(line);
  if (json === undefined) return err('is not JSON');
  if (typeof json !== 'object' || json === null || !('tag' in json)) {
    return err('is no event: it has no tag');
  }
  const {tag} = json;
  if (typeof tag !== 'string' || !Object.hasOwn(historySchemas, tag)) {
    return err(describeUnknownTag(tag));
  }
  const parsed = historySchemas[tag as HistoryEvent['tag']].safeParse(json);
  if (parsed.success) return ok(parsed.data as unknown as HistoryEvent);
  const {path, message} = parsed.error.issues[0]!;
  return err([tag, ...path.map(String)].join('.') + `: ${message}`);
}
