import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {StageForecast} from './stageForecast.ts';

interface StageInput {
  /** Positions of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Null if the call skips the stage or no service computes it. */
  readonly capacity: Pick<
    StageCapacity,
    'batch' | 'callMilliseconds' | 'pieceMilliseconds'
  > | null;
  /** Null if the waits are unknown; the queue then counts as empty. */
  readonly waits: Omit<StageWaits, 'service'> | null;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Call time and wait: a group waits about a third of a call for its turn. */
const CALL_WITH_WAIT_FACTOR = 1.3;

/**
 * Forecasts the work and the wait of a stage that is ordered now.
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
    workMilliseconds:
      callMilliseconds * CALL_WITH_WAIT_FACTOR + batch * pieceMilliseconds,
    // The last wait applies to all priorities beyond the list.
    timelyWaitMilliseconds: timely[Math.min(priority, timely.length - 1)] ?? 0,
    totalWaitMilliseconds: waits?.totalMilliseconds ?? 0,
  };
}
