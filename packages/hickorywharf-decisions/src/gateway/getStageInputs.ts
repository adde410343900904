import type {GatewayStage} from 'hickorywharf-types/gateway/gatewayStage';

/**
 * Handles of all results that a stage reads. The call itself reads the results
 * of the stages that no other stage depends on.
 *
 * @param handles results by stage and piece
 * @param stage position of the stage that reads; null for the call itself
 * @example
 *     getStageInputs(route.stages, handles, null);
 */
export function getStageInputs(
  stages: readonly GatewayStage[],
  handles: ReadonlyArray<readonly string[]>,
  stage: number | null,
): string[] {
  if (stage !== null) {
    return stages[stage]!.after.flatMap((position) => handles[position] ?? []);
  }
  const dependencies = new Set(stages.flatMap(({after}) => after));
  return stages.flatMap((_stage, position) =>
    dependencies.has(position) ? [] : (handles[position] ?? []),
  );
}
