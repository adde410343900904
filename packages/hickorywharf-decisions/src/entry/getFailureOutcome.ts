import type {Outcome} from 'hickorywharf-types/outcome';
import type {EntryRows} from './entryRows.ts';

/**
 * The truthful outcome of a request that ends without an answer. With an
 * action in its pipeline, `notRun` says that the action did not run; without
 * one, that no stage began.
 *
 * @example
 *     getFailureOutcome(request); // 'unknown' once the action was sent
 */
export function getFailureOutcome(request: EntryRows['request']): Outcome {
  const hasAction = request.pipeline.stages.some((stage) => !stage.idempotent);
  const earlier = request.pipeline.stages.slice(0, request.stageIndex);
  const isCertain = earlier.some((stage) => !stage.idempotent);
  const mayHaveRun = hasAction
    ? request.actionMayHaveRun || request.keyMayHaveRun || isCertain
    : request.begun;
  return mayHaveRun ? 'unknown' : 'notRun';
}
