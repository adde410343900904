import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';

interface StageWork {
  readonly pieces: number;
  /** Null if no service computes the pieces. */
  readonly capacity: Pick<
    StageCapacity,
    'batch' | 'callMilliseconds' | 'pieceMilliseconds'
  > | null;
}

/**
 * The time that a call takes of the endpoints of its stages and of its engine,
 * in milliseconds. A piece takes its part of the fixed time of a full call.
 *
 * @example
 *     const capacity = {batch: 9, callMilliseconds: 90, pieceMilliseconds: 5};
 *     getCallWork([{pieces: 2, capacity}], 150); // 180
 */
export function getCallWork(
  stages: readonly StageWork[],
  engineMilliseconds: number,
): number {
  return stages.reduce((sum, {pieces, capacity}) => {
    if (capacity === null || pieces <= 0) return sum;
    const {batch, callMilliseconds, pieceMilliseconds} = capacity;
    return sum + pieces * (callMilliseconds / batch + pieceMilliseconds);
  }, engineMilliseconds);
}
