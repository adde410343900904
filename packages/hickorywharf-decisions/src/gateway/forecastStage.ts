import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {StageForecast} from './stageForecast.ts';

interface StageInput {
  readonly after: readonly number[];
  /** Null where the call leaves the stage out, or nobody makes it. */
  readonly capacity: Pick<
    StageCapacity,
    'batch' | 'callMilliseconds' | 'pieceMilliseconds'
  > | null;
  /** Null where the waits are not known; nothing is thought to wait then. */
  readonly waits: Omit<StageWaits, 'service'> | null;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** A group waits about a third of a call for its turn. */
const TURN_SHARE = 1.3;

/**
 * What is expected of a stage that is ordered now.
 *
 * @example
 *     forecastStage({after: [], capacity, waits: null, priority: 0});
 */
export function forecastStage(input: StageInput): StageForecast {
  const {after, capacity, waits, priority} = input;
  if (capacity === null) {
    return {
      after,
      workMilliseconds: 0,
      timelyWaitMilliseconds: 0,
      totalWaitMilliseconds: 0,
    };
  }
  const {batch, callMilliseconds, pieceMilliseconds} = capacity;
  const timely = waits?.timelyMilliseconds ?? [];
  return {
    after,
    workMilliseconds: callMilliseconds * TURN_SHARE + batch * pieceMilliseconds,
    // The last figure stands for all priorities that have none of their own.
    timelyWaitMilliseconds: timely[Math.min(priority, timely.length - 1)] ?? 0,
    totalWaitMilliseconds: waits?.totalMilliseconds ?? 0,
  };
}
