import type {EntryRows} from './entryRows.ts';

/**
 * Returns the current stage of a request.
 *
 * @example
 *     getCurrentStage(request).pool; // 'engines'
 */
export function getCurrentStage(request: EntryRows['request']) {
  return request.pipeline.stages[request.stageIndex]!;
}
