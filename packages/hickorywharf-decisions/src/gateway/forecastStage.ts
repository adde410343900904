import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {StageForecast} from './stageForecast.ts';

interface StageInput {
  /** Positions of the stages whose results the stage reads. */
  readonly after: readonly number[];
  /** Null if the call skips the stage or no service computes its pieces. */
  readonly capacity: Pick<
    StageCapacity,
    'batch' | 'callMilliseconds' | 'pieceMilliseconds'
  > | null;
  /** Waits at the service; null if unknown, which counts as an empty queue. */
  readonly waits: Omit<StageWaits, 'service'> | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Whether the client account has more than its share of the room; null or
   * left out if the room is not shared.
   */
  readonly isOverShare?: boolean | null;
}

/**
 * Factor on the fixed time of a call: also without a queue, a group waits about
 * a third of a call for an endpoint.
 */
const CALL_WITH_WAIT_FACTOR = 1.3;

/**
 * Forecasts the work and the wait of a stage that is ordered now. The work is
 * that of one call with as many pieces as it can hold, and includes the usual
 * wait for an endpoint.
 *
 * @example
 *     const capacity = {batch: 9, callMilliseconds: 100, pieceMilliseconds: 5};
 *     const input = {after: [], capacity, waits: null, priority: 0};
 *     forecastStage(input).workMilliseconds; // 175
 */
export function forecastStage(input: StageInput): StageForecast {
  const {after, capacity, waits, priority, isOverShare = null} = input;
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
  // The last wait applies to all priorities beyond the list, which is empty if
  // the waits are unknown.
  const last = timely.at(-1) ?? 0;
  const total = waits?.totalMilliseconds ?? 0;
  return {
    after,
    workMilliseconds:
      callMilliseconds * CALL_WITH_WAIT_FACTOR + batch * pieceMilliseconds,
    timelyWaitMilliseconds:
      isOverShare === true
        ? (waits?.overShareMilliseconds ?? last)
        : (timely[priority] ?? last),
    totalWaitMilliseconds:
      isOverShare === false ? (waits?.withinShareMilliseconds ?? total) : total,
  };
}
