import type {EntryRows} from './entryRows.ts';

/**
 * The stage that a request is at.
 *
 * @example
 *     getCurrentStage(request).pool;
 */
export function getCurrentStage(request: EntryRows['request']) {
  return request.pipeline.stages[request.stageIndex]!;
}
