import type {GatewayStage} from 'hickorywharf-types/gateway/gatewayStage';

/**
 * Lists the handles of all results that a stage reads, or that the call itself
 * reads: the results of the stages that no other stage depends on. A handle
 * identifies one result at the endpoint that holds it. A stage without results,
 * which the call skips, adds nothing.
 *
 * @param handles handles of the results, by position of their stage and piece
 * @param readerPosition position of the stage that reads; null for the call
 * @example
 *     const first = {service: 'scan', after: [], resultBytes: 8000};
 *     const second = {service: 'colour', after: [0], resultBytes: 8000};
 *     getStageInputs([first, second], [['a', 'b'], ['c']], null); // ['c']
 */
export function getStageInputs(
  stages: readonly GatewayStage[],
  handles: ReadonlyArray<readonly string[]>,
  readerPosition: number | null,
): string[] {
  if (readerPosition !== null) {
    return stages[readerPosition]!.after.flatMap(
      (position) => handles[position] ?? [],
    );
  }
  const consumedPositions = new Set(stages.flatMap(({after}) => after));
  return stages.flatMap((_stage, position) =>
    consumedPositions.has(position) ? [] : (handles[position] ?? []),
  );
}
