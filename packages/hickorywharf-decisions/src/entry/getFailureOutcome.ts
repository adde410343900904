import type {Outcome} from 'hickorywharf-types/outcome';
import type {EntryRows} from './entryRows.ts';

/**
 * Returns the outcome of a request that ends without an answer. For a pipeline
 * with an action, `notRun` guarantees that the action did not run; for any
 * other pipeline, that no stage was sent to an endpoint.
 *
 * @example
 *     getFailureOutcome(request); // 'unknown' once the action was sent
 */
export function getFailureOutcome(request: EntryRows['request']): Outcome {
  const hasAction = request.pipeline.stages.some((stage) => !stage.idempotent);
  const earlier = request.pipeline.stages.slice(0, request.stageIndex);
  const hasRun = earlier.some((stage) => !stage.idempotent);
  const mayHaveRun = hasAction
    ? request.actionMayHaveRun || request.keyMayHaveRun || hasRun
    : request.begun;
  return mayHaveRun ? 'unknown' : 'notRun';
}
