import type {StageLoad} from './stageLoad.ts';

/**
 * Positions of the stages that a stage of a kind of requests reads.
 *
 * @example
 *     getSimulatedInputs(load.kinds['report']!, 1); // [0]
 */
export function getSimulatedInputs(
  {stages}: StageLoad['kinds'][string],
  stage: number,
): readonly number[] {
  return stages[stage]!.after ?? (stage === 0 ? [] : [stage - 1]);
}
