import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface ServiceCapacity {
  /** Number of endpoints; a rate limit makes an endpoint part of one. */
  readonly endpoints: number;
  /** The most pieces in one call. */
  readonly batch: number;
  /** Fixed time of a call, to which each piece adds its time. */
  readonly callMilliseconds: number;
  /** Expected time until the first endpoint is free. */
  readonly untilFreeMilliseconds: number;
  /**
   * Time that is added to it as calls take longer than expected; 0 by default.
   * It delays groups that arrive, but does not make a group infeasible.
   */
  readonly overdueMilliseconds?: number;
}

interface Estimate<Group> {
  readonly waits: Omit<StageWaits, 'service'>;
  /** Late groups that would miss their deadline after the work before them. */
  readonly infeasible: Group[];
}

/**
 * Wait at a service without endpoints. It exceeds the timeout of every caller,
 * and it is finite, so that frames can carry it.
 */
const NO_ENDPOINT_WAIT_MILLISECONDS = 60_000;
/** Priorities with separate waits; less urgent ones share the last wait. */
const PRIORITY_COUNT = 4;

/**
 * Estimates how long a group that arrives now would wait at a service, and
 * finds the late groups that can no longer be computed before their deadline.
 * Such infeasible groups count for no wait. Without an endpoint no group is
 * reported as infeasible.
 *
 * Designed for bursts of several seconds above the capacity of a service. Work
 * that cannot be served is refused at once, at admission or while it waits, so
 * that its caller can retry while there is time.
 *
 * @param now monotonic milliseconds
 * @example
 *     const {waits} = estimateWaits(waiting, now, capacity);
 *     waits.timelyMilliseconds; // [250, 250, 350, 350]
 *     waits.totalMilliseconds; // 350
 */
export function estimateWaits<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  capacity: ServiceCapacity,
): Estimate<Group> {
  const {endpoints, callMilliseconds, untilFreeMilliseconds} = capacity;
  const {overdueMilliseconds = 0} = capacity;
  const timely = new Array<number>(PRIORITY_COUNT).fill(
    untilFreeMilliseconds + overdueMilliseconds,
  );
  if (endpoints === 0) {
    return {
      waits: {
        timelyMilliseconds: timely.fill(NO_ENDPOINT_WAIT_MILLISECONDS),
        totalMilliseconds: NO_ENDPOINT_WAIT_MILLISECONDS,
      },
      infeasible: [],
    };
  }
  const infeasible: Group[] = [];
  let total = untilFreeMilliseconds;
  let withinShare = total;
  let overShare = total;
  let isShared = false;
  const ranked = rankGroups(waiting, now, capacity);
  for (const {group, rank, costMilliseconds: work} of ranked) {
    const isLate = rank === 'late' || rank === 'lateOver';
    if (isLate && now + total + callMilliseconds > group.deadlineAt) {
      infeasible.push(group);
      continue;
    }
    total += work;
    isShared ||= rank === 'over' || rank === 'lateOver';
    if (rank !== 'lateOver') withinShare = total;
    if (isLate) continue;
    overShare = total;
    if (rank === 'over') continue;
    const first =
      rank === 'begun' ? 0 : Math.min(group.priority, PRIORITY_COUNT - 1);
    for (let priority = first; priority < PRIORITY_COUNT; priority += 1) {
      timely[priority]! += work;
    }
  }
  return {
    waits: {
      timelyMilliseconds: timely,
      totalMilliseconds: total + overdueMilliseconds,
      ...(isShared
        ? {
            overShareMilliseconds: overShare + overdueMilliseconds,
            withinShareMilliseconds: withinShare + overdueMilliseconds,
          }
        : {}),
    },
    infeasible,
  };
}
